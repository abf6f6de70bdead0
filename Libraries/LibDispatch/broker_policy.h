#pragma once

#include <cstdint>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Variants of the broker's policy. The defaults are the shipped policy; other
// values serve the experiments in Bench.
struct BrokerPolicy {
  // Requests granted ahead per busy target while the queue is not empty.
  std::uint32_t ahead_per_target = 1;
  // Above zero: long work may hold this fraction of the usable slots instead of
  // the adaptive share.
  double fixed_long_fraction = 0;
  // Factor on the measured share of long work.
  double long_headroom = 1.3;
  // Time for which waiting long work may be passed over by short work while it
  // is below its limit of slots.
  Duration long_pass_over = std::chrono::milliseconds(100);
  // Serve short work before long work.
  bool short_first = true;
  // Share slots between organisations; otherwise by order of arrival.
  bool fair = true;

  friend bool operator==(const BrokerPolicy&, const BrokerPolicy&) = default;
};

}  // namespace pimentopin

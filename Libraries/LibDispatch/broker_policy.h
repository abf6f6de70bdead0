#pragma once

#include <cstdint>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/view_budget.h"

namespace pimentopin {

// What a target's load costs a request that may go to it.
enum class Placement : std::uint8_t {
  // The occupied fraction of its slots.
  kLoad,
  // The work that it still has to do. Only experiments use this.
  kLeastWork,
  // The delay of the request's completion there, relative to the request's own work.
  kExpectedCompletion,
};

// Tunable parameters of the broker's scheduling policy. The defaults are the
// production policy; other values serve the experiments in Bench.
struct BrokerPolicy {
  // Grants beyond the usable slots of a busy target while the queue is not
  // empty. With one, goodput in a peak drops from 99 % to 95 %: a second slot
  // of the target often becomes free within the 3 ms in which the first grant
  // is replaced.
  std::uint32_t overcommit_per_target = 2;
  // If above zero, long work may hold this fraction of the usable slots instead
  // of the adaptive share.
  double fixed_long_fraction = 0;
  // Multiplies the measured share of long work. With 1.3, long work waits up to
  // six times as long as in one shared queue at load 0.95; with 2, short work
  // exceeds its latency bound at load 0.7 on 6 targets with 2 slots each.
  double long_headroom = 1.8;
  // Maximum time for which short work is granted before waiting long work while
  // long work is below its slot limit.
  Duration max_long_bypass = std::chrono::milliseconds(100);
  // Serve short work before long work; otherwise the older request first.
  bool short_first = true;
  // Share slots fairly between organisations; otherwise serve requests in order
  // of arrival.
  bool fair = true;
  // Serve the most urgent priority first, with a minimum share for the others; otherwise all
  // priorities are alike. See Admission.
  bool by_priority = false;
  // A host receives views if it sends at least this many requests per second.
  // Below that rate, a slot request for each request costs less than the views.
  double view_min_request_rate = 0;
  // Limit of the views that one host receives. Views of services with many targets are sent less
  // often.
  double view_bytes_per_second = kViewBytesPerSecond;
  // Send views only as often as hosts need them for lack of a broker.
  bool evidence_views_only = false;
  RetryLimits retry_limits;
  Placement placement = Placement::kLoad;

  friend bool operator==(const BrokerPolicy&, const BrokerPolicy&) = default;
};

}  // namespace pimentopin

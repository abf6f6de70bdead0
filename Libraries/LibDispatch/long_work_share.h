#pragma once

#include <cstdint>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Adaptive limit on the slots that long work may hold. It follows the share of
// long work in the offered load, not in the completed work: a limit derived
// from the work it admitted would keep shrinking.
class LongWorkShare {
 public:
  // `share_headroom` multiplies the measured share, so that long work does not
  // fully utilise its slots.
  explicit LongWorkShare(double share_headroom) : headroom(share_headroom) {}

  void RecordArrival(TimePoint now, WorkClass work_class, Duration expected_service_time);
  // At least one slot; leaves at least one slot to short work if there are two
  // or more.
  std::uint32_t Limit(std::uint32_t usable_slots) const;
  double share() const;

 private:
  void Decay(TimePoint now);

  double headroom;
  double short_work_us = 0;
  double long_work_us = 0;
  TimePoint decayed_at;
};

}  // namespace pimentopin

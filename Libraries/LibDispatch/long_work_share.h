#pragma once

#include <cstdint>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Number of slots that long work may hold. It follows the share of long work
// in the offered work, not in the completed work: a limit that follows what it
// let through would shrink itself.
class LongWorkShare {
 public:
  // `share_headroom` multiplies the measured share, so that long work does not run at
  // full utilisation of its slots.
  explicit LongWorkShare(double share_headroom) : headroom(share_headroom) {}

  void RecordArrival(TimePoint now, WorkClass work_class, Duration expected_service_time);
  // At least one; leaves at least one slot to short work if there are two.
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

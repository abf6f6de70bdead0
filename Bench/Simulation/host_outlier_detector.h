#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin::bench {

// Per-host outlier ejection, the baseline for comparison with the shared health
// state. A target is ejected after 5 consecutive failures, or when its mean service
// time of short work over at least 10 requests is above 3 times the median of the
// other targets. An ejection lasts 30 s times the number of ejections so far. At
// most half of the targets are ejected at a time.
class HostOutlierDetector {
 public:
  explicit HostOutlierDetector(std::vector<TargetId> service_targets);

  void Observe(TimePoint now,
               TargetId target,
               WorkClass work_class,
               AttemptResult result,
               Duration service_time);
  bool IsEjected(TimePoint now, TargetId target) const;
  std::uint32_t ejections(TargetId target) const;

 private:
  struct State {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t samples = 0;
    double mean_service_time_us = 0.0;
    std::uint32_t ejections = 0;
    TimePoint ejected_until;
  };

  bool IsSlow(TargetId target) const;

  std::map<TargetId, State> targets;
};

}  // namespace pimentopin::bench

#pragma once

#include <algorithm>
#include <cstddef>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Bytes per second that a broker sends as views of one service to one host.
inline constexpr double kViewBytesPerSecond = 64 * 1024;
inline constexpr Duration kMinViewInterval = std::chrono::milliseconds(20);
// Hosts that share older views choose the same free slots too often, so views further apart allow
// no optimistic starts.
inline constexpr Duration kMaxOptimisticViewInterval = std::chrono::milliseconds(50);
// Interval of views that only tell hosts what to avoid while no broker answers.
inline constexpr Duration kEvidenceViewInterval = std::chrono::seconds(1);

// Upper bound of the size of an encoded view in bytes, with its headers.
constexpr std::size_t ViewSize(std::size_t target_count) {
  constexpr std::size_t kOverhead = 160;
  constexpr std::size_t kBytesPerTarget = 40;
  return kOverhead + kBytesPerTarget * target_count;
}

// Minimum time between two views with this number of targets to the same host.
constexpr Duration ViewInterval(std::size_t target_count,
                                double bytes_per_second = kViewBytesPerSecond) {
  const Duration interval =
      FromSeconds(static_cast<double>(ViewSize(target_count)) / bytes_per_second);
  return interval <= kMaxOptimisticViewInterval ? std::max(interval, kMinViewInterval)
                                                : std::max(interval, kEvidenceViewInterval);
}

// Whether views with this number of targets are sent often enough for optimistic starts.
constexpr bool AllowsOptimisticStarts(std::size_t target_count) {
  return ViewInterval(target_count) <= kMaxOptimisticViewInterval;
}

}  // namespace pimentopin

#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <optional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Measures how long the process is kept from running, by the delays of a periodic task.
class PauseMonitor {
 public:
  // A pause counts for this long at least, and for twice as long at most.
  static constexpr Duration kWindow = std::chrono::seconds(15);

  explicit PauseMonitor(Duration interval) : interval(interval) {}

  // Call every `interval` on one thread.
  void Tick(TimePoint now);
  // Longest recent pause. Callable from any thread.
  Duration longest() const { return this->longest_pause; }

 private:
  const Duration interval;
  std::optional<TimePoint> last_tick;
  TimePoint window_start;
  // Longest pauses of the current window and of the one before.
  std::array<Duration, 2> window_pauses{};
  std::atomic<Duration> longest_pause = Duration::zero();
};

}  // namespace pimentopin

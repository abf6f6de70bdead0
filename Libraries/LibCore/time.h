#pragma once

#include <chrono>
#include <cstdint>

namespace pimentopin {

using Duration = std::chrono::microseconds;

// Clock of the control loop. It has no now(): decision code receives the time as
// a parameter, so that the daemon and the simulations can run the same code.
struct ControlClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ControlClock>;
};

using TimePoint = ControlClock::time_point;

// Whole milliseconds, for log lines.
constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Both drop fractions of a microsecond.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

constexpr Duration FromMicroseconds(double microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

// Current time of the process's steady clock.
inline TimePoint SteadyNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace pimentopin

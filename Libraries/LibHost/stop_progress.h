#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// What a stopping host waits for, in this order.
enum class StopPhase : std::uint8_t { kDelay, kListener, kRequests, kWrites, kEnd };

std::string_view StopPhaseName(StopPhase phase);

// Measures how long a stopping host waits for what.
class StopProgress {
 public:
  explicit StopProgress(std::function<TimePoint()> clock = SteadyNow) : clock(std::move(clock)) {}

  void Enter(StopPhase next);
  StopPhase phase() const { return this->current; }
  // When the phase began; the beginning of time if it has not.
  TimePoint BeganAt(StopPhase phase) const;
  // Milliseconds of each phase before the current one, under its name with the suffix "_ms".
  nlohmann::json EndedPhases() const;

 private:
  static constexpr std::size_t kPhases = static_cast<std::size_t>(StopPhase::kEnd) + 1;

  std::function<TimePoint()> clock;
  StopPhase current = StopPhase::kDelay;
  std::array<TimePoint, kPhases> began{};
};

}  // namespace pimentopin

#include "Libraries/LibHost/stop_progress.h"

#include <string>

namespace pimentopin {

std::string_view StopPhaseName(StopPhase phase) {
  switch (phase) {
    case StopPhase::kDelay:
      return "delay";
    case StopPhase::kListener:
      return "listener";
    case StopPhase::kRequests:
      return "requests";
    case StopPhase::kWrites:
      return "writes";
    case StopPhase::kEnd:
      return "end";
  }
  return "unknown";
}

void StopProgress::Enter(StopPhase next) {
  this->current = next;
  this->began.at(static_cast<std::size_t>(next)) = this->clock();
}

TimePoint StopProgress::BeganAt(StopPhase phase) const {
  return this->began.at(static_cast<std::size_t>(phase));
}

nlohmann::json StopProgress::EndedPhases() const {
  nlohmann::json result = nlohmann::json::object();
  for (std::size_t index = 0; index < static_cast<std::size_t>(this->current); ++index) {
    const std::string name(StopPhaseName(static_cast<StopPhase>(index)));
    result[name + "_ms"] = Milliseconds(this->began.at(index + 1) - this->began.at(index));
  }
  return result;
}

}  // namespace pimentopin

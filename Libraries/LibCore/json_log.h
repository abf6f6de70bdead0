#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace pimentopin {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts logging to standard output, one JSON object per line. `process` is the
// process name in each line; lines below `threshold` are discarded. A separate
// thread writes the lines; if it falls behind, the oldest queued lines are
// dropped. Call once at startup.
void StartLog(std::string_view process, LogLevel threshold);
// Writes the queued lines and stops logging. Call before the process exits.
void StopLog();

// Logs one line with the time, the level, the event name and the fields. Lines
// below kWarning are dropped above a rate limit; the next line states how many.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace pimentopin

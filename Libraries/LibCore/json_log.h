#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace pimentopin {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sends log lines to standard error, one JSON object a line. `process` names
// the writer in each line. Call once at start.
void StartLog(std::string_view process, LogLevel threshold);

// Writes one line with the time, the level, the event name and the fields.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace pimentopin

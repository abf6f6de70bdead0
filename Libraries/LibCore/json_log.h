#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace pimentopin {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Writes a line, which ends with a newline. Called by the writer thread only.
using LogLineWriter = std::function<void(std::string_view line)>;

// Maximum number of lines that wait for the writer thread; about 0.2 MB of memory.
inline constexpr std::size_t kMaxQueuedLogLines = 512;

// Starts logging, one JSON object per line, to standard output unless `write_line`
// is given. `process` is the process name in each line; lines below `threshold` are
// discarded. A separate thread writes the lines; if it falls behind, the oldest
// queued lines are lost, and a line `log_lines_lost` states how many. Call once at
// startup.
void StartLog(std::string_view process, LogLevel threshold, LogLineWriter write_line = {});
// Writes the queued lines and stops logging. Call before the process exits.
void StopLog();
// Number of lines lost since StartLog because the queue was full; 0 if logging is not
// started. May be called from any thread.
std::uint64_t LostLogLines();

// Logs one line with the time, the level, the event name and the fields. Lines
// below kWarning are dropped above a rate limit; the next line states how many.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields);

}  // namespace pimentopin

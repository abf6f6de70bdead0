#include "Libraries/LibCore/json_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace pimentopin {
namespace {

// Capacity of the queue to the writer thread; about 0.2 MB of memory.
constexpr std::size_t kMaxQueuedLines = 512;
// Limit for lines below kWarning: a host under load would otherwise write two lines per request.
// Lines above the limit are dropped and counted.
constexpr std::uint32_t kMaxLinesPerSecond = 500;

class LineRateLimiter {
 public:
  // Returns the number of lines dropped since the last admitted line, or std::nullopt if this line
  // is dropped as well.
  std::optional<std::uint64_t> Admit(std::int64_t now_ms, bool is_exempt) {
    const std::lock_guard lock(this->mutex);
    const std::int64_t now_second = now_ms / 1000;
    if (now_second != this->current_second) {
      this->current_second = now_second;
      this->lines_in_second = 0;
    }
    if (!is_exempt && this->lines_in_second >= kMaxLinesPerSecond) {
      ++this->dropped_lines;
      return std::nullopt;
    }
    ++this->lines_in_second;
    return std::exchange(this->dropped_lines, 0);
  }

 private:
  std::mutex mutex;
  std::int64_t current_second = 0;
  std::uint32_t lines_in_second = 0;
  std::uint64_t dropped_lines = 0;
};

LineRateLimiter& RateLimiter() {
  static LineRateLimiter limiter;
  return limiter;
}

std::string& ProcessName() {
  static std::string name;
  return name;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

void StartLog(std::string_view process, LogLevel threshold) {
  ProcessName() = process;
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  auto logger =
      std::make_shared<spdlog::async_logger>("pimentopin", std::move(sink), spdlog::thread_pool(),
                                             spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%v");
  logger->set_level(ToSpdlog(threshold));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

void StopLog() {
  spdlog::shutdown();
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::should_log(spdlog_level)) {
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const auto dropped_before = RateLimiter().Admit(now.count(), level >= LogLevel::kWarning);
  if (!dropped_before) {
    return;
  }
  const auto level_name = spdlog::level::to_string_view(spdlog_level);
  nlohmann::json line = {{"time_ms", now.count()},
                         {"level", std::string(level_name.data(), level_name.size())},
                         {"event", event},
                         {"process", ProcessName()}};
  if (fields.is_object()) {
    line.update(fields);
  }
  if (*dropped_before > 0) {
    line["lines_dropped_before"] = *dropped_before;
  }
  // Fields may contain bytes from external input that are not valid UTF-8.
  spdlog::log(spdlog_level, "{}",
              line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace pimentopin

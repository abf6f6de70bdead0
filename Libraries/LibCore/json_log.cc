#include "Libraries/LibCore/json_log.h"

#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace pimentopin {
namespace {

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

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

nlohmann::json MakeLine(std::int64_t now_ms,
                        spdlog::level::level_enum level,
                        std::string_view event) {
  const auto level_name = spdlog::level::to_string_view(level);
  return {{"time_ms", now_ms},
          {"level", std::string(level_name.data(), level_name.size())},
          {"event", event},
          {"process", ProcessName()}};
}

void WriteToStandardOutput(std::string_view line) {
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

// Passes lines to the writer and reports lines that the queue has lost before them. The writer
// thread makes the report, because a report in the queue could be lost itself.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // `queue` must live as long as its thread uses the sink.
  LineSink(spdlog::details::thread_pool* queue, LogLineWriter write_line)
      : queue(queue), write_line(std::move(write_line)) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const std::size_t lost = this->queue->overrun_counter();
    if (lost > this->reported) {
      nlohmann::json line = MakeLine(NowMs(), spdlog::level::warn, "log_lines_lost");
      line["lines"] = lost - this->reported;
      this->reported = lost;
      this->write_line(line.dump() + "\n");
    }
    this->write_line(std::string(message.payload.data(), message.payload.size()) + "\n");
  }
  void flush_() override {}

  spdlog::details::thread_pool* queue;
  LogLineWriter write_line;
  std::size_t reported = 0;
};

}  // namespace

void StartLog(std::string_view process, LogLevel threshold, LogLineWriter write_line) {
  ProcessName() = process;
  spdlog::init_thread_pool(kMaxQueuedLogLines, 1);
  auto sink = std::make_shared<LineSink>(
      spdlog::thread_pool().get(), write_line ? std::move(write_line) : WriteToStandardOutput);
  auto logger =
      std::make_shared<spdlog::async_logger>("pimentopin", std::move(sink), spdlog::thread_pool(),
                                             spdlog::async_overflow_policy::overrun_oldest);
  logger->set_level(ToSpdlog(threshold));
  spdlog::set_default_logger(std::move(logger));
}

void StopLog() {
  spdlog::shutdown();
}

std::uint64_t LostLogLines() {
  const auto queue = spdlog::thread_pool();
  return queue ? queue->overrun_counter() : 0;
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::should_log(spdlog_level)) {
    return;
  }
  const std::int64_t now_ms = NowMs();
  const auto dropped_before = RateLimiter().Admit(now_ms, level >= LogLevel::kWarning);
  if (!dropped_before) {
    return;
  }
  nlohmann::json line = MakeLine(now_ms, spdlog_level, event);
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

#include "Libraries/LibCore/json_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

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
  auto logger = spdlog::stderr_logger_mt("pimentopin");
  logger->set_pattern("%v");
  logger->set_level(ToSpdlog(threshold));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::should_log(spdlog_level)) {
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const auto level_name = spdlog::level::to_string_view(spdlog_level);
  nlohmann::json line = {{"time_ms", now.count()},
                         {"level", std::string(level_name.data(), level_name.size())},
                         {"event", event},
                         {"process", ProcessName()}};
  line.update(fields);
  // Fields may hold bytes from outside that are not valid UTF-8.
  spdlog::log(spdlog_level, "{}",
              line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace pimentopin

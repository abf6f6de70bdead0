#include <sys/resource.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibConfig/document_scanner.h"
#include "Libraries/LibCore/exit_code.h"
#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibCore/scoped_signal_mask.h"
#include "Libraries/LibCore/settings.h"
#include "Libraries/LibHost/host.h"
#include "Libraries/LibHost/host_settings.h"
#include "Libraries/LibHost/limits_in_force.h"
#include "Libraries/LibHost/native_dialect.h"
#include "platform/adapter.h"
#include "platform/bounds.h"
#include "platform/wire_names.h"

namespace {

using pimentopin::ExitCode;

// The platform's configuration has no queue limit. At the current service times, a queue of this
// length takes seconds to process, which is longer than callers wait.
constexpr std::uint32_t kPlatformQueueLimit = 200;

constexpr std::size_t kMaxLoggedNoteBytes = 1024;

constexpr int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

int ReportFindings(const pimentopin::Findings& findings) {
  std::cerr << findings.ToText();
  return ToInt(ExitCode::kUsage);
}

// Each connection to a caller, target or peer uses a file descriptor. When none are left, the
// server stops accepting connections permanently.
void RaiseFileDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace

int main(int argc, char** argv) {
  using namespace pimentopin;
  // Writes to a closed connection return an error instead of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
  // Only Host::Run() handles signals. Those that come earlier wait for it, and those that come
  // after it, when no handler is left, do not end the process.
  BlockSignals({SIGTERM, SIGINT, SIGHUP});
  RaiseFileDescriptorLimit();

  Findings findings;
  const ProgramDescription program{.name = "pimentopin",
                                   .version = PIMENTOPIN_VERSION,
                                   .summary = "Host daemon of the pimentopin proxy fleet."};
  const SettingsResult result = ReadSettings(program, HostSettingDescriptions(),
                                             std::vector<std::string>(argv + 1, argv + argc),
                                             ReadProcessEnvironment, findings);
  if (result.action == SettingsAction::kHelp || result.action == SettingsAction::kVersion) {
    std::cout << result.output;
    return ToInt(ExitCode::kSuccess);
  }
  if (!result.settings) {
    return ReportFindings(findings);
  }
  NoteUnknownVariables(HostSettingDescriptions(), ProcessVariableNames(),
                       {platform::kSettingsFileVariable}, findings);
  HostSettings settings = ReadHostSettings(*result.settings);
  const PlatformLimits limits = platform::ReadPlatformBounds(settings.platform_bounds, findings);
  if (!findings.empty()) {
    return ReportFindings(findings);
  }
  ApplyPlatformLimits(limits, settings);
  CheckLimits(settings, findings);
  if (!findings.empty()) {
    return ReportFindings(findings);
  }
  settings.cuttable_request_window = platform::kCuttableRequestWindow;
  if (result.action == SettingsAction::kCheck) {
    std::cerr << findings.NotesToText();
    std::cout << "settings are valid\n";
    return ToInt(ExitCode::kSuccess);
  }

  StartLog(settings.name, settings.log_level);
  if (!findings.notes().empty()) {
    Log(LogLevel::kWarning, "settings_ignored",
        {{"notes", Truncate(findings.NotesToText(), kMaxLoggedNoteBytes)}});
  }
  PlatformAdapter adapter = platform::CreateAdapter(
      {.floor_share = settings.floor_share, .queue_limit = kPlatformQueueLimit});
  if (!settings.platform_configuration) {
    adapter.dialect = std::make_shared<NativeDialect>();
  }
  Error error;
  auto host = Host::Create(settings, std::move(adapter), error);
  if (!host) {
    std::cerr << error.message << "\n";
    return ToInt(ExitCode::kInternalError);
  }
  host->Run();
  host.reset();
  Log(LogLevel::kInfo, "process_ended", nlohmann::json::object());
  StopLog();
  return ToInt(ExitCode::kSuccess);
}

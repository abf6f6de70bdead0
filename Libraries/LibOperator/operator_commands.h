#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/exit_code.h"
#include "Libraries/LibCore/settings.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

// What the commands need from their surroundings.
struct OperatorHooks {
  std::function<std::optional<std::string>(const std::string& path, Error& error)> read_file;
  std::function<std::string()> new_change_id;
  std::function<void(Duration)> wait;
  // Shows a line at once, before the command has a result.
  std::function<void(const std::string& line)> notice;
};

struct CommandResult {
  ExitCode code = ExitCode::kSuccess;
  std::string output;
  std::string error_output;

  friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

// Flags of pimentopinctl.
std::vector<SettingDescription> OperatorSettings();
// Usage lines of the commands.
std::string CommandHelp();

// Runs the command named by the first positional argument.
CommandResult RunOperatorCommand(const Settings& settings,
                                 AdminClient& client,
                                 const OperatorHooks& hooks);

}  // namespace pimentopin

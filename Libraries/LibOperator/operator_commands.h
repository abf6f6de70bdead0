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

// Access of the commands to files, randomness, time and the terminal.
struct OperatorHooks {
  // Returns std::nullopt and sets `error` if the file cannot be read.
  std::function<std::optional<std::string>(const std::string& path, Error& error)> read_file;
  std::function<std::string()> generate_change_id;
  std::function<void(Duration)> sleep;
  // Prints a line immediately, before the command has finished.
  std::function<void(const std::string& line)> print_notice;
};

struct CommandResult {
  ExitCode code = ExitCode::kSuccess;
  std::string output;
  std::string error_output;

  friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

// Command-line flags of pimentopinctl.
std::vector<SettingDescription> OperatorSettings();
// One line per command with its usage and purpose.
std::string CommandHelp();

// Runs the command named by the first positional argument. Returns
// ExitCode::kUsage if the arguments or flags do not fit the command.
CommandResult RunOperatorCommand(const Settings& settings,
                                 AdminClient& client,
                                 const OperatorHooks& hooks);

}  // namespace pimentopin

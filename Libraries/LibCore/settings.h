#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/findings.h"

namespace pimentopin {

enum class SettingKind {
  kText,
  // Integer between `minimum` and `maximum`.
  kNumber,
  // One of `choices`.
  kChoice,
  // IP:port; port 0 is accepted if `minimum` is 0.
  kAddress,
  // Comma-separated addresses; the flag may be repeated.
  kAddressList,
  // Boolean flag that needs no value; the environment variable is true or false.
  kSwitch,
};

// One setting, set by the flag --name or the environment variable
// PIMENTOPIN_NAME.
struct SettingDescription {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string help;
  // Unit shown in --help and in findings, for example "milliseconds".
  std::string unit;
  std::optional<std::string> default_value;
  bool required = false;
  // For kText.
  bool may_be_empty = false;
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
  std::vector<std::string> choices;
  // Additional validation of a kText value. Returns an error text, or an empty
  // string if the value is valid.
  std::string (*check)(const std::string& value) = nullptr;

  friend bool operator==(const SettingDescription&, const SettingDescription&) = default;
};

struct ProgramDescription {
  std::string name;
  std::string version;
  std::string summary;
  // Positional arguments in the usage line; empty if none are accepted.
  std::string positional_help;

  friend bool operator==(const ProgramDescription&, const ProgramDescription&) = default;
};

// Validated values of all settings. Names passed to the accessors must have a
// SettingDescription.
class Settings {
 public:
  Settings(std::map<std::string, std::vector<std::string>> validated_values,
           std::vector<std::string> positional);

  // True if a flag, an environment variable or a default provides a value.
  bool Has(const std::string& name) const;
  // Empty if there is no value.
  std::string Text(const std::string& name) const;
  std::int64_t Number(const std::string& name) const;
  bool Switch(const std::string& name) const;
  std::vector<std::string> List(const std::string& name) const;
  const std::vector<std::string>& positional() const { return this->positional_arguments; }

 private:
  std::map<std::string, std::vector<std::string>> values;
  std::vector<std::string> positional_arguments;
};

enum class SettingsAction { kRun, kHelp, kVersion, kCheck };

struct SettingsResult {
  SettingsAction action = SettingsAction::kRun;
  // Text to print for kHelp and kVersion.
  std::string output;
  // Present if there are no findings and the action is kRun or kCheck.
  std::optional<Settings> settings;
};

// Returns the value of an environment variable, or std::nullopt if it is not set.
using EnvironmentReader = std::function<std::optional<std::string>(const std::string& name)>;

// EnvironmentReader for the environment of this process.
std::optional<std::string> ReadProcessEnvironment(const std::string& name);

// Names of the environment variables of this process.
std::vector<std::string> ProcessVariableNames();

// Environment variable of a setting, for example PIMENTOPIN_SHUTDOWN_DELAY_MS for
// shutdown-delay-ms.
std::string EnvironmentVariableName(const std::string& setting);

// Reads the settings from flags and environment variables. A flag takes precedence
// over the variable, and an empty variable counts as unset. Adds all errors to
// `findings` with the flag or the variable as their place. --help, --version and
// --check are available in every program.
SettingsResult ReadSettings(const ProgramDescription& program,
                            const std::vector<SettingDescription>& descriptions,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            Findings& findings);

// Adds a note for each name that starts like the variable of a setting but is neither that of a
// setting nor one of `other_variables`.
void NoteUnknownVariables(const std::vector<SettingDescription>& descriptions,
                          const std::vector<std::string>& variable_names,
                          const std::vector<std::string>& other_variables,
                          Findings& findings);

}  // namespace pimentopin

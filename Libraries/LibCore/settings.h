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
  // Whole number between minimum and maximum.
  kNumber,
  // One of `choices`.
  kChoice,
  // IP:port; port 0 is accepted if `minimum` is 0.
  kAddress,
  // Addresses separated by commas; the flag may be repeated.
  kAddressList,
  // A flag without a value; the variable takes true or false.
  kSwitch,
};

// One setting: flag --name and environment variable PIMENTOPIN_NAME.
struct SettingDescription {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string help;
  // For --help, for example "milliseconds".
  std::string unit;
  std::optional<std::string> default_value;
  bool required = false;
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
  std::vector<std::string> choices;
  // Further check of a text; returns what is wrong, or nothing.
  std::string (*check)(const std::string& value) = nullptr;

  friend bool operator==(const SettingDescription&, const SettingDescription&) = default;
};

struct ProgramDescription {
  std::string name;
  std::string version;
  std::string summary;
  // What follows the flags in the usage line; empty if nothing may.
  std::string positional_help;

  friend bool operator==(const ProgramDescription&, const ProgramDescription&) = default;
};

// Checked values of all settings. The names must be described ones.
class Settings {
 public:
  Settings(std::map<std::string, std::vector<std::string>> checked_values,
           std::vector<std::string> positional);

  // False if neither a flag, a variable nor a default gives a value.
  bool Has(const std::string& name) const;
  // Empty if there is no value.
  std::string Text(const std::string& name) const;
  std::int64_t Number(const std::string& name) const;
  bool Switch(const std::string& name) const;
  std::vector<std::string> List(const std::string& name) const;
  const std::vector<std::string>& positional() const { return this->arguments; }

 private:
  std::map<std::string, std::vector<std::string>> values;
  std::vector<std::string> arguments;
};

enum class SettingsAction { kRun, kHelp, kVersion, kCheck };

struct SettingsResult {
  SettingsAction action = SettingsAction::kRun;
  // What to print for kHelp and kVersion.
  std::string output;
  // Present if there are no findings and the action is kRun or kCheck.
  std::optional<Settings> settings;
};

// Value of an environment variable; absent if it is not set.
using EnvironmentReader = std::function<std::optional<std::string>(const std::string& name)>;

// Reads the environment of this process.
std::optional<std::string> ReadProcessEnvironment(const std::string& name);

// PIMENTOPIN_SHUTDOWN_DELAY_MS for shutdown-delay-ms.
std::string EnvironmentName(const std::string& setting);

// Reads flags and variables; a flag takes precedence over the variable, and an
// empty variable counts as unset. All faults go to `findings` with the flag or
// variable as their place. --help, --version and --check are always known.
SettingsResult ReadSettings(const ProgramDescription& program,
                            const std::vector<SettingDescription>& descriptions,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            Findings& findings);

}  // namespace pimentopin

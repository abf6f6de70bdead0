#include "Libraries/LibCore/settings.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <set>

#include "Libraries/LibCore/socket_address.h"

namespace pimentopin {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;
constexpr std::size_t kHelpColumns = 100;
constexpr std::string_view kVariablePrefix = "PIMENTOPIN_";
constexpr const char* kTrue = "true";
constexpr const char* kFalse = "false";

// Replaces control characters, which a terminal could interpret.
std::string QuoteForMessage(const std::string& value) {
  std::string text = value.substr(0, kMaxQuotedBytes);
  std::replace_if(
      text.begin(), text.end(),
      [](char byte) { return static_cast<unsigned char>(byte) < 0x20 || byte == 0x7f; }, '?');
  return "'" + text + (value.size() > kMaxQuotedBytes ? "...'" : "'");
}

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || last != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  for (std::size_t comma = text.find(','); comma != std::string::npos;
       comma = text.find(',', start)) {
    parts.push_back(text.substr(start, comma - start));
    start = comma + 1;
  }
  parts.push_back(text.substr(start));
  return parts;
}

std::string JoinWithCommas(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

void CheckNumber(const SettingDescription& description,
                 const std::string& value,
                 const std::string& place,
                 Findings& findings) {
  const std::optional<std::int64_t> number = ParseNumber(value);
  const std::string unit = description.unit.empty() ? "" : " " + description.unit;
  if (!number) {
    findings.Add(place, QuoteForMessage(value) + " is not a whole number" +
                            (unit.empty() ? "" : " of" + unit));
  } else if (*number < description.minimum || *number > description.maximum) {
    findings.Add(place, value + unit + " is outside " + std::to_string(description.minimum) +
                            " to " + std::to_string(description.maximum));
  }
}

void CheckAddress(const SettingDescription& description,
                  const std::string& value,
                  const std::string& place,
                  Findings& findings) {
  const std::optional<SocketAddress> address = SocketAddress::Parse(value);
  if (!address) {
    findings.Add(place, QuoteForMessage(value) + " is not IP:port");
  } else if (address->port < description.minimum) {
    findings.Add(place, QuoteForMessage(value) + " needs a port above 0");
  }
}

void CheckValue(const SettingDescription& description,
                const std::string& value,
                const std::string& place,
                Findings& findings) {
  switch (description.kind) {
    case SettingKind::kText:
      if (value.empty()) {
        if (!description.may_be_empty) {
          findings.Add(place, "must not be empty");
        }
      } else if (description.check != nullptr) {
        const std::string error_text = description.check(value);
        if (!error_text.empty()) {
          findings.Add(place, QuoteForMessage(value) + " " + error_text);
        }
      }
      return;
    case SettingKind::kNumber:
      CheckNumber(description, value, place, findings);
      return;
    case SettingKind::kChoice:
      if (std::find(description.choices.begin(), description.choices.end(), value) ==
          description.choices.end()) {
        findings.Add(place, QuoteForMessage(value) + " is not one of " +
                                JoinWithCommas(description.choices));
      }
      return;
    case SettingKind::kAddress:
    case SettingKind::kAddressList:
      CheckAddress(description, value, place, findings);
      return;
    case SettingKind::kSwitch:
      if (value != kTrue && value != kFalse) {
        findings.Add(place, QuoteForMessage(value) + " is neither true nor false");
      }
      return;
  }
}

struct CommandLine {
  std::map<std::string, std::vector<std::string>> flags;
  std::vector<std::string> unmatched;
};

class ArgumentParser {
 public:
  ArgumentParser(const ProgramDescription& program,
                 const std::vector<SettingDescription>& descriptions)
      : options(program.name, program.summary) {
    this->options.allow_unrecognised_options();
    if (!program.positional_help.empty()) {
      this->options.positional_help(program.positional_help).show_positional_help();
    }
    this->options.set_width(kHelpColumns);
    for (const SettingDescription& description : descriptions) {
      const auto value = cxxopts::value<std::string>();
      if (description.kind == SettingKind::kSwitch) {
        value->implicit_value(kTrue);
      }
      this->options.add_options()(
          description.name, HelpText(description), value,
          description.kind == SettingKind::kSwitch ? std::string() : ValueName(description));
    }
  }

  std::string Help() const { return this->options.help(); }

  // cxxopts throws an exception for the first error and collects unknown options without an error.
  // A value can only be missing after the last argument, so that argument is reported and removed,
  // and the remaining arguments are parsed again.
  CommandLine Parse(std::vector<std::string> arguments, Findings& findings) {
    while (true) {
      std::vector<const char*> argv{"program"};
      for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
      }
      try {
        return ToCommandLine(this->options.parse(static_cast<int>(argv.size()), argv.data()));
      } catch (const cxxopts::exceptions::exception& exception) {
        if (arguments.empty()) {
          findings.Add("command line", exception.what());
          return {};
        }
        findings.Add(arguments.back(), "value is missing");
        arguments.pop_back();
      }
    }
  }

 private:
  static CommandLine ToCommandLine(const cxxopts::ParseResult& result) {
    CommandLine command_line;
    for (const cxxopts::KeyValue& argument : result.arguments()) {
      command_line.flags[argument.key()].push_back(argument.value());
    }
    command_line.unmatched = result.unmatched();
    return command_line;
  }

  static std::string ValueName(const SettingDescription& description) {
    switch (description.kind) {
      case SettingKind::kNumber:
        return "N";
      case SettingKind::kAddress:
        return "IP:PORT";
      case SettingKind::kAddressList:
        return "IP:PORT,...";
      case SettingKind::kChoice:
        return "CHOICE";
      default:
        return "TEXT";
    }
  }

  static std::string HelpText(const SettingDescription& description) {
    std::string text = description.help;
    if (!description.unit.empty()) {
      text += ", in " + description.unit;
    }
    if (!description.choices.empty()) {
      text += "; one of " + JoinWithCommas(description.choices);
    }
    if (description.kind == SettingKind::kNumber) {
      text +=
          "; " + std::to_string(description.minimum) + " to " + std::to_string(description.maximum);
    }
    if (description.default_value) {
      text += "; default " + *description.default_value;
    }
    if (description.required) {
      text += "; required";
    }
    return text + " [" + EnvironmentVariableName(description.name) + "]";
  }

  cxxopts::Options options;
};

class SettingsCollector {
 public:
  SettingsCollector(const CommandLine& parsed_command_line,
                    const EnvironmentReader& environment_reader,
                    Findings& all_findings)
      : command_line(parsed_command_line),
        environment(environment_reader),
        findings(all_findings) {}

  void CollectSetting(const SettingDescription& description) {
    const std::string flag = "--" + description.name;
    if (const auto found = this->command_line.flags.find(description.name);
        found != this->command_line.flags.end()) {
      this->AddValues(description, found->second, flag);
      return;
    }
    const std::string variable = EnvironmentVariableName(description.name);
    const std::optional<std::string> value = this->environment(variable);
    if (value && !value->empty()) {
      this->AddValues(description, {*value}, variable);
      return;
    }
    if (description.default_value) {
      this->AddValues(description, {*description.default_value}, flag);
    } else if (description.required) {
      this->findings.Add(flag, "is required (or set " + variable + ")");
    }
  }

  std::map<std::string, std::vector<std::string>> TakeValues() { return std::move(this->values); }

 private:
  void AddValues(const SettingDescription& description,
                 const std::vector<std::string>& raw_values,
                 const std::string& place) {
    if (description.kind != SettingKind::kAddressList && raw_values.size() > 1) {
      this->findings.Add(place, "is given more than once");
    }
    std::vector<std::string>& setting_values = this->values[description.name];
    for (const std::string& text : raw_values) {
      // cxxopts uses the next argument as the value even if it is a flag, in which case the value
      // is missing.
      if (text.starts_with("--")) {
        this->findings.Add(place, "value is missing before " + QuoteForMessage(text));
        continue;
      }
      const std::vector<std::string> parts = description.kind == SettingKind::kAddressList
                                                 ? SplitAtCommas(text)
                                                 : std::vector<std::string>{text};
      for (const std::string& part : parts) {
        CheckValue(description, part, place, this->findings);
        setting_values.push_back(part);
      }
    }
  }

  const CommandLine& command_line;
  const EnvironmentReader& environment;
  Findings& findings;
  std::map<std::string, std::vector<std::string>> values;
};

std::vector<SettingDescription> WithCommonSettings(std::vector<SettingDescription> descriptions) {
  descriptions.push_back({.name = "check",
                          .kind = SettingKind::kSwitch,
                          .help = "Validate the settings, report all findings and exit"});
  descriptions.push_back(
      {.name = "help", .kind = SettingKind::kSwitch, .help = "Show this text and exit"});
  descriptions.push_back(
      {.name = "version", .kind = SettingKind::kSwitch, .help = "Show the version and exit"});
  return descriptions;
}

void ReportUnmatched(const ProgramDescription& program,
                     const std::vector<std::string>& unmatched,
                     std::vector<std::string>& positional,
                     Findings& findings) {
  for (const std::string& argument : unmatched) {
    if (argument.size() > 1 && argument.front() == '-') {
      findings.Add(argument.substr(0, std::min(argument.find('='), kMaxQuotedBytes)),
                   "unknown flag");
    } else if (program.positional_help.empty()) {
      findings.Add("command line", "unexpected argument " + QuoteForMessage(argument));
    } else {
      positional.push_back(argument);
    }
  }
}

}  // namespace

Settings::Settings(std::map<std::string, std::vector<std::string>> validated_values,
                   std::vector<std::string> positional)
    : values(std::move(validated_values)), positional_arguments(std::move(positional)) {}

bool Settings::Has(const std::string& name) const {
  const auto found = this->values.find(name);
  return found != this->values.end() && !found->second.empty();
}

std::string Settings::Text(const std::string& name) const {
  return this->Has(name) ? this->values.at(name).back() : "";
}

std::int64_t Settings::Number(const std::string& name) const {
  return ParseNumber(this->Text(name)).value_or(0);
}

bool Settings::Switch(const std::string& name) const {
  return this->Text(name) == kTrue;
}

std::vector<std::string> Settings::List(const std::string& name) const {
  return this->Has(name) ? this->values.at(name) : std::vector<std::string>();
}

std::optional<std::string> ReadProcessEnvironment(const std::string& name) {
  const char* const value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::vector<std::string> ProcessVariableNames() {
  std::vector<std::string> names;
  for (char** variable = environ; variable != nullptr && *variable != nullptr; ++variable) {
    const std::string_view text(*variable);
    names.emplace_back(text.substr(0, text.find('=')));
  }
  return names;
}

std::string EnvironmentVariableName(const std::string& setting) {
  std::string name(kVariablePrefix);
  for (const char letter : setting) {
    const bool is_lower = letter >= 'a' && letter <= 'z';
    name += letter == '-' ? '_' : static_cast<char>(is_lower ? letter - 'a' + 'A' : letter);
  }
  return name;
}

SettingsResult ReadSettings(const ProgramDescription& program,
                            const std::vector<SettingDescription>& descriptions,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            Findings& findings) {
  const std::vector<SettingDescription> all_descriptions = WithCommonSettings(descriptions);
  ArgumentParser parser(program, all_descriptions);
  Findings new_findings;
  const CommandLine command_line = parser.Parse(arguments, new_findings);
  if (command_line.flags.contains("help")) {
    return {.action = SettingsAction::kHelp, .output = parser.Help()};
  }
  if (command_line.flags.contains("version")) {
    return {.action = SettingsAction::kVersion,
            .output = program.name + " " + program.version + "\n"};
  }
  std::vector<std::string> positional;
  ReportUnmatched(program, command_line.unmatched, positional, new_findings);
  SettingsCollector collector(command_line, environment, new_findings);
  for (const SettingDescription& description : all_descriptions) {
    collector.CollectSetting(description);
  }
  Settings settings(collector.TakeValues(), std::move(positional));
  SettingsResult result;
  result.action = settings.Switch("check") ? SettingsAction::kCheck : SettingsAction::kRun;
  for (const Finding& finding : new_findings.all()) {
    findings.Add(finding.place, finding.message);
  }
  if (new_findings.empty()) {
    result.settings = std::move(settings);
  }
  return result;
}

void NoteUnknownVariables(const std::vector<SettingDescription>& descriptions,
                          const std::vector<std::string>& variable_names,
                          const std::vector<std::string>& other_variables,
                          Findings& findings) {
  std::set<std::string> known(other_variables.begin(), other_variables.end());
  for (const SettingDescription& description : WithCommonSettings(descriptions)) {
    known.insert(EnvironmentVariableName(description.name));
  }
  for (const std::string& name : variable_names) {
    if (name.starts_with(kVariablePrefix) && !known.contains(name)) {
      findings.AddNote(QuoteForMessage(name), "no setting has this variable; it has no effect");
    }
  }
}

}  // namespace pimentopin

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "Bench/Load/load_report.h"
#include "Bench/Load/load_runner.h"
#include "Libraries/LibCore/exit_code.h"
#include "Libraries/LibCore/settings.h"

namespace pimentopin {
namespace {

std::vector<SettingDescription> DescribeLoadSettings() {
  return {
      {.name = "plan", .help = "load plan, a JSON file", .required = true},
      {.name = "hosts",
       .kind = SettingKind::kAddressList,
       .help = "caller addresses of hosts",
       .unit = "IP:port,...",
       .minimum = 1},
      {.name = "direct",
       .help = "targets that receive requests directly, as SERVICE=IP:port,IP:port;SERVICE=..."},
      {.name = "duration-ms",
       .kind = SettingKind::kNumber,
       .help = "time during which requests start",
       .unit = "milliseconds",
       .default_value = "10000",
       .minimum = 1,
       .maximum = 3600000},
      {.name = "rate-percent",
       .kind = SettingKind::kNumber,
       .help = "factor on all rates of the plan",
       .unit = "percent",
       .default_value = "100",
       .minimum = 1,
       .maximum = 100000},
      {.name = "seed",
       .kind = SettingKind::kNumber,
       .help = "seed of start times and random choices",
       .default_value = "1"},
      {.name = "records", .help = "output file with one line of JSON per request"},
  };
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

std::map<std::string, std::vector<std::string>> ParseDirect(const std::string& text,
                                                            Findings& findings) {
  std::map<std::string, std::vector<std::string>> direct;
  for (const std::string& entry : Split(text, ';')) {
    const std::size_t equals = entry.find('=');
    if (equals == std::string::npos) {
      findings.Add("--direct", "'" + entry + "' is not SERVICE=ADDRESSES");
      continue;
    }
    direct[entry.substr(0, equals)] = Split(entry.substr(equals + 1), ',');
  }
  return direct;
}

std::optional<LoadSettings> ReadLoadSettings(const Settings& settings, Findings& findings) {
  LoadSettings load;
  std::ifstream file(settings.Text("plan"));
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) {
    findings.Add("--plan", "cannot read '" + settings.Text("plan") + "'");
  } else if (auto plan = ReadLoadPlan(content.str(), findings)) {
    load.plan = *plan;
  }
  load.hosts = settings.List("hosts");
  load.direct = ParseDirect(settings.Text("direct"), findings);
  if (load.hosts.empty() && load.direct.empty()) {
    findings.Add("--hosts", "at least one of --hosts and --direct is required");
  }
  load.duration = std::chrono::milliseconds(settings.Number("duration-ms"));
  load.seed = static_cast<std::uint64_t>(settings.Number("seed"));
  load.rate_factor = static_cast<double>(settings.Number("rate-percent")) / 100;
  return findings.empty() ? std::optional(std::move(load)) : std::nullopt;
}

int Run(const std::vector<std::string>& arguments) {
  Findings findings;
  const SettingsResult result =
      ReadSettings({.name = "pimentopin-load",
                    .version = PIMENTOPIN_VERSION,
                    .summary = "Open-loop load generator for hosts and targets."},
                   DescribeLoadSettings(), arguments, ReadProcessEnvironment, findings);
  if (!result.output.empty()) {
    std::cout << result.output;
    return static_cast<int>(ExitCode::kSuccess);
  }
  std::optional<LoadSettings> load;
  if (result.settings) {
    load = ReadLoadSettings(*result.settings, findings);
  }
  if (!load) {
    std::cerr << findings.ToText();
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::vector<LoadRecord> records = LoadRunner(*load).Run();
  PrintLoadTable(records, std::cout);
  if (result.settings->Has("records")) {
    std::ofstream file(result.settings->Text("records"));
    WriteLoadRecords(records, file);
    if (!file.flush()) {
      std::cerr << "cannot write '" << result.settings->Text("records") << "'\n";
      return static_cast<int>(ExitCode::kInternalError);
    }
  }
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace
}  // namespace pimentopin

int main(int argc, char** argv) {
  // A write to a closed connection then fails with an error instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  return pimentopin::Run(std::vector<std::string>(argv + 1, argv + argc));
}

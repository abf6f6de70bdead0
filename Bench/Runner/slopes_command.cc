#include "Bench/Runner/slopes_command.h"

#include <fmt/core.h>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Bench/Runner/command.h"
#include "Bench/Runner/configuration_slopes.h"
#include "Bench/Runner/membership_slopes.h"
#include "Bench/Runner/message_slopes.h"

namespace pimentopin::bench {
namespace {

void PrintTable(const std::vector<Slope>& slopes) {
  fmt::print("{:<42} {:<28} {:<9} {:>12} {:>12}  {}\n", "cost", "for each", "unit", "slope",
             "intercept", "measured (size: cost)");
  for (const Slope& slope : slopes) {
    std::string points;
    for (const SlopePoint& point : slope.points) {
      points += fmt::format("{:.6g}: {:.6g}  ", point.x, point.y);
    }
    fmt::print("{:<42} {:<28} {:<9} {:>12.4g} {:>12.4g}  {}\n", slope.name, slope.per, slope.unit,
               slope.slope, slope.intercept, points);
  }
}

void PrintRecords(const std::vector<Slope>& slopes, const std::string& revision) {
  for (const Slope& slope : slopes) {
    nlohmann::json points = nlohmann::json::array();
    for (const SlopePoint& point : slope.points) {
      points.push_back({point.x, point.y});
    }
    const nlohmann::json record = {{"bench", "slopes"},    {"revision", revision},
                                   {"name", slope.name},   {"per", slope.per},
                                   {"unit", slope.unit},   {"points", points},
                                   {"slope", slope.slope}, {"intercept", slope.intercept}};
    fmt::print("{}\n", record.dump());
  }
}

}  // namespace

int RunSlopesCommand(int argc, char** argv) {
  cxxopts::Options options("pimentopin-bench slopes",
                           "Time, memory, bytes and messages by number of items or hosts: slope "
                           "and intercept of a fitted line");
  options.add_options()("revision", "Git revision for the records",
                        cxxopts::value<std::string>()->default_value("unknown"))(
      "help", "Show the options");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", options.help());
    return kExitSuccess;
  }
  std::vector<Slope> slopes = MeasureConfigurationSlopes();
  for (auto measure_slopes : {MeasureMembershipSlopes, MeasureMessageSlopes, MeasureBrokerSlopes}) {
    const std::vector<Slope> measured_slopes = measure_slopes();
    slopes.insert(slopes.end(), measured_slopes.begin(), measured_slopes.end());
  }
  PrintTable(slopes);
  PrintRecords(slopes, parsed["revision"].as<std::string>());
  return kExitSuccess;
}

}  // namespace pimentopin::bench

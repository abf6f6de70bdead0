#include "Bench/Runner/placement_command.h"

#include <fmt/core.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <vector>

#include "Bench/Runner/command.h"
#include "Bench/Runner/parallel.h"
#include "Bench/Runner/placement_experiment.h"

namespace pimentopin::bench {
namespace {

struct Variant {
  Placement placement;
  bool shuffled;
};

constexpr Variant kVariants[] = {{Placement::kLoad, false},
                                 {Placement::kLeastWork, false},
                                 {Placement::kExpectedCompletion, false},
                                 {Placement::kExpectedCompletion, true}};

struct Trouble {
  std::size_t slow = 0;
  std::size_t cold = 0;
};

constexpr Trouble kTroubles[] = {{}, {.slow = 3, .cold = 2}};

void PrintRow(const PlacementRun& run, const PlacementResult& result, const PlacementResult& base) {
  const double short_p99 = result.short_kinds.QuantileMs(0.99);
  fmt::print("{:7} {:5.2f} {:>9} {:30} {:8.1f} {:8.1f} {:8.1f} {:8.1f} {:8.4f} {:8.3f}\n",
             run.targets, run.load, fmt::format("{},{}", run.slow_targets, run.cold_targets),
             fmt::format("{}{}", PlacementName(run.placement), run.shuffled ? ", shuffled" : ""),
             result.short_kinds.QuantileMs(0.5), short_p99, result.all_kinds.QuantileMs(0.5),
             result.all_kinds.QuantileMs(0.99),
             static_cast<double>(result.served_in_time) / static_cast<double>(result.requests),
             short_p99 / base.short_kinds.QuantileMs(0.99));
}

}  // namespace

int RunPlacementCommand(int argc, char** argv) {
  cxxopts::Options definition("pimentopin-bench placement",
                              "Placement of requests of uneven cost, in virtual time");
  definition.add_options()("seed", "First seed",
                           cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "Seeds per case; results are pooled",
      cxxopts::value<std::size_t>()->default_value("20"))(
      "loads", "Mean offered loads as fractions of the capacity",
      cxxopts::value<std::vector<double>>()->default_value("0.6,0.8,0.95"))(
      "targets", "Numbers of targets with 4 slots",
      cxxopts::value<std::vector<std::size_t>>()->default_value("28,46"))(
      "ahead", "Requests granted ahead per busy target",
      cxxopts::value<std::uint32_t>()->default_value("2"))(
      "jobs", "Number of concurrent runs", cxxopts::value<std::size_t>()->default_value("2"))(
      "help", "Show the options");
  const cxxopts::ParseResult parsed = definition.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", definition.help());
    return kExitSuccess;
  }
  std::vector<PlacementRun> runs;
  for (const std::size_t targets : parsed["targets"].as<std::vector<std::size_t>>()) {
    for (const double load : parsed["loads"].as<std::vector<double>>()) {
      for (const Trouble& trouble : kTroubles) {
        for (const Variant& variant : kVariants) {
          runs.push_back(
              {.placement = variant.placement,
               .shuffled = variant.shuffled,
               .targets = targets,
               .load = load,
               .slow_targets = trouble.slow,
               .cold_targets = trouble.cold,
               .first_seed = parsed["seed"].as<std::uint64_t>(),
               .seeds = parsed["seeds"].as<std::size_t>(),
               .broker = {.overcommit_per_target = parsed["ahead"].as<std::uint32_t>()}});
        }
      }
    }
  }
  const std::size_t jobs = parsed["jobs"].as<std::size_t>();
  fmt::print("{:>7} {:>5} {:>9} {:30} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "targets", "load",
             "slow,cold", "placement", "short50", "short99", "all50", "all99", "in time",
             "p99/load");
  std::uint64_t violations = 0;
  for (std::size_t first = 0; first < runs.size(); first += std::size(kVariants)) {
    std::vector<PlacementResult> results(std::size(kVariants));
    RunParallel(results.size(), jobs,
                [&](std::size_t index) { results[index] = RunPlacement(runs[first + index]); });
    for (std::size_t index = 0; index < results.size(); ++index) {
      violations += results[index].violations;
      PrintRow(runs[first + index], results[index], results.front());
    }
    std::fflush(stdout);
  }
  fmt::print("violations of the invariants: {}\n", violations);
  return violations == 0 ? kExitSuccess : kExitFailure;
}

}  // namespace pimentopin::bench

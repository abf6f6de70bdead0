#include "Bench/Runner/blocking_command.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Bench/Runner/blocking_experiment.h"
#include "Bench/Runner/command.h"
#include "Bench/Runner/json_lines.h"
#include "Bench/Runner/parallel.h"
#include "Bench/Runner/policy_options.h"

namespace pimentopin::bench {
namespace {

// Bounds on the p99 of short work relative to its p99 without long work at the same
// load, checked at load 0.7, and on the p99 of long work relative to one shared
// queue, checked at every load.
constexpr double kShortLatencyRatioBound = 1.3;
constexpr double kShortLatencyBoundLoad = 0.7;
constexpr double kLongLatencyRatioBound = 1.5;

constexpr WorkMix kMixes[] = {WorkMix::kMixed, WorkMix::kShortAtSameLoad,
                              WorkMix::kShortAtSameRate};
constexpr std::optional<DispatchPolicy> kPolicies[] = {DispatchPolicy::kBrokered,
                                                       DispatchPolicy::kLeastOutstanding,
                                                       DispatchPolicy::kRandom, std::nullopt};

std::string_view PolicyNameOrOneQueue(const std::optional<DispatchPolicy>& policy) {
  return policy ? PolicyName(*policy) : "one-queue";
}

std::vector<BlockingRun> PlanRuns(const PolicyOptions& options, Duration measured_time) {
  std::vector<BlockingRun> runs;
  for (const DeployedService& service : options.services) {
    for (const double load : options.loads) {
      for (const auto& policy : kPolicies) {
        for (const WorkMix mix : kMixes) {
          runs.push_back({.service = service,
                          .policy = policy,
                          .mix = mix,
                          .load = load,
                          .first_seed = options.first_seed,
                          .seeds = options.seeds,
                          .broker = options.broker,
                          .optimistic_starts = options.optimistic_starts,
                          .measured_time = measured_time});
        }
      }
    }
  }
  return runs;
}

nlohmann::json ToJson(const PolicyOptions& options,
                      const BlockingRun& run,
                      const BlockingResult& result) {
  return {{"command", "blocking"},
          {"revision", options.revision},
          {"variant", options.Variant()},
          {"deployment", run.service.deployment},
          {"service", run.service.name},
          {"policy", PolicyNameOrOneQueue(run.policy)},
          {"mix", MixName(run.mix)},
          {"load", run.load},
          {"seed", run.first_seed},
          {"seeds", run.seeds},
          {"requests", result.requests},
          {"failed", result.failed},
          {"short_p50_ms", result.short_work.QuantileMs(0.5)},
          {"short_p99_ms", result.short_work.QuantileMs(0.99)},
          {"long_p50_ms", result.long_work.QuantileMs(0.5)},
          {"long_p99_ms", result.long_work.QuantileMs(0.99)},
          {"violations", result.violations}};
}

double Ratio(double value, double base) {
  return base > 0 ? value / base : 0;
}

std::string CheckBounds(const BlockingRun& run,
                        const BlockingResult& mixed,
                        double short_ratio,
                        double long_ratio) {
  if (run.policy != DispatchPolicy::kBrokered) {
    return "";
  }
  std::string missed;
  if (run.load == kShortLatencyBoundLoad && short_ratio > kShortLatencyRatioBound) {
    missed += " short";
  }
  if (long_ratio > kLongLatencyRatioBound) {
    missed += " long";
  }
  if (mixed.violations > 0) {
    missed += " invariant";
  }
  return missed.empty() ? "met" : "MISSED" + missed;
}

bool PrintTable(const std::vector<BlockingRun>& runs, const std::vector<BlockingResult>& results) {
  fmt::print("{:18} {:>4} {:9} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>7} {:>8} {}\n", "service",
             "load", "policy", "short50", "short99", "/load", "/rate", "long50", "long99", "/queue",
             "failed%", "bound");
  const std::size_t group = std::size(kMixes) * std::size(kPolicies);
  bool met = true;
  for (std::size_t first = 0; first < runs.size(); first += std::size(kMixes)) {
    const BlockingRun& run = runs[first];
    const BlockingResult& mixed = results[first];
    const BlockingResult& one_queue = results[first / group * group + group - std::size(kMixes)];
    const double short_p99 = mixed.short_work.QuantileMs(0.99);
    const double long_p99 = mixed.long_work.QuantileMs(0.99);
    const double ratio_to_same_load =
        Ratio(short_p99, results[first + 1].short_work.QuantileMs(0.99));
    const double ratio_to_same_rate =
        Ratio(short_p99, results[first + 2].short_work.QuantileMs(0.99));
    const double ratio_to_one_queue = Ratio(long_p99, one_queue.long_work.QuantileMs(0.99));
    const std::string verdict = CheckBounds(run, mixed, ratio_to_same_load, ratio_to_one_queue);
    met = met && !verdict.starts_with("MISSED");
    fmt::print(
        "{:18} {:4.2f} {:9} {:8.1f} {:8.1f} {:7.2f} {:7.2f} {:8.0f} {:8.0f} {:7.2f} {:8.3f} {}\n",
        run.service.name, run.load, PolicyNameOrOneQueue(run.policy),
        mixed.short_work.QuantileMs(0.5), short_p99, ratio_to_same_load, ratio_to_same_rate,
        mixed.long_work.QuantileMs(0.5), long_p99, ratio_to_one_queue,
        100.0 * Ratio(static_cast<double>(mixed.failed), static_cast<double>(mixed.requests)),
        verdict);
  }
  return met;
}

}  // namespace

int RunBlockingCommand(int argc, char** argv) {
  cxxopts::Options definition("pimentopin-bench blocking",
                              "Head-of-line blocking of short work by long work, in virtual time");
  AddPolicyOptions(definition, "3");
  definition.add_options()("seconds", "Measured virtual time per seed",
                           cxxopts::value<std::int64_t>()->default_value("200"));
  const cxxopts::ParseResult parsed = definition.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", definition.help());
    return kExitSuccess;
  }
  const PolicyOptions options = ReadPolicyOptions(parsed);
  const std::vector<BlockingRun> runs =
      PlanRuns(options, std::chrono::seconds(parsed["seconds"].as<std::int64_t>()));
  if (runs.empty()) {
    fmt::print(stderr, "no runs selected; check --services and --loads\n");
    return kExitUsage;
  }
  std::vector<BlockingResult> results(runs.size());
  RunParallel(runs.size(), options.jobs,
              [&](std::size_t index) { results[index] = RunBlocking(runs[index]); });
  fmt::print("revision {}, seeds {} to {}, {}, times in ms\n", options.revision, options.first_seed,
             options.first_seed + options.seeds - 1, options.Variant());
  fmt::print("/load, /rate: short99 over its value without long work at the same load or at the ");
  fmt::print("same rate of short work; /queue: long99 over one shared queue\n");
  const bool met = PrintTable(runs, results);
  std::vector<std::string> lines;
  for (std::size_t index = 0; index < runs.size(); ++index) {
    lines.push_back(ToJson(options, runs[index], results[index]).dump());
  }
  if (!WriteJsonLines(options.json_path, lines)) {
    fmt::print(stderr, "cannot write {}\n", options.json_path);
    return kExitUsage;
  }
  fmt::print("{}\n", met ? "all stated bounds met" : "stated bounds MISSED, see above");
  return met ? kExitSuccess : kExitFailure;
}

}  // namespace pimentopin::bench

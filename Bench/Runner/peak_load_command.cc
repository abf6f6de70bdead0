#include "Bench/Runner/peak_load_command.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Bench/Runner/command.h"
#include "Bench/Runner/json_lines.h"
#include "Bench/Runner/parallel.h"
#include "Bench/Runner/peak_load_experiment.h"
#include "Bench/Runner/policy_options.h"

namespace pimentopin::bench {
namespace {

// Bounds on the results. The service has recovered when its p99 is at most 1.5 times
// the p99 before the peak.
constexpr double kGoodputBound = 0.95;
constexpr double kRetryShareBound = 0.1;
constexpr double kUnfairnessBound = 0.1;
constexpr double kRecoveryLatencyFactor = 1.5;

constexpr PeakLoadMix kMixes[] = {PeakLoadMix::kShort, PeakLoadMix::kMixed, PeakLoadMix::kErrors};
constexpr DispatchPolicy kPolicies[] = {DispatchPolicy::kBrokered,
                                        DispatchPolicy::kLeastOutstanding, DispatchPolicy::kRandom};

std::vector<PeakLoadRun> PlanRuns(const PolicyOptions& options) {
  std::vector<PeakLoadRun> runs;
  for (const PeakLoadMix mix : kMixes) {
    for (const DeployedService& service : options.services) {
      for (const double load : options.loads) {
        for (const DispatchPolicy policy : kPolicies) {
          runs.push_back({.service = service,
                          .policy = policy,
                          .mix = mix,
                          .load = load,
                          .first_seed = options.first_seed,
                          .seeds = options.seeds,
                          .broker = options.broker,
                          .optimistic_starts = options.optimistic_starts});
        }
      }
    }
  }
  return runs;
}

nlohmann::json ToJson(const PolicyOptions& options,
                      const PeakLoadRun& run,
                      const PeakLoadResult& result) {
  return {{"command", "crest"},
          {"revision", options.revision},
          {"variant", options.Variant()},
          {"deployment", run.service.deployment},
          {"service", run.service.name},
          {"policy", PolicyName(run.policy)},
          {"mix", MixName(run.mix)},
          {"load", run.load},
          {"seed", run.first_seed},
          {"seeds", run.seeds},
          {"goodput", result.goodput},
          {"refused", result.refused},
          {"refused_after_50_ms", result.refused_after_50_ms},
          {"refused_after_deadline", result.refused_after_deadline},
          {"unknown", result.unknown},
          {"retry_share", result.retry_share},
          {"unfairness", result.unfairness},
          {"p99_before_ms", result.p99_before_ms},
          {"p99_after_ms", result.p99_after_ms},
          {"ejections", result.ejections},
          {"violations", result.violations}};
}

// Injected errors reduce the goodput by themselves, so kErrors is checked only for
// refusals, retries and invariants.
std::string CheckBounds(const PeakLoadRun& run, const PeakLoadResult& result) {
  if (run.policy != DispatchPolicy::kBrokered) {
    return "";
  }
  std::string missed;
  if (run.mix != PeakLoadMix::kErrors) {
    missed += result.goodput < kGoodputBound ? " goodput" : "";
    missed += result.unknown > 0 ? " not-run" : "";
    missed += result.unfairness > kUnfairnessBound ? " fairness" : "";
    missed +=
        result.p99_after_ms > kRecoveryLatencyFactor * result.p99_before_ms ? " recovery" : "";
  }
  missed += result.refused_after_deadline > 0 ? " refusal" : "";
  missed += result.retry_share >= kRetryShareBound ? " retries" : "";
  missed += result.violations > 0 ? " invariant" : "";
  return missed.empty() ? "met" : "MISSED" + missed;
}

bool PrintTable(const std::vector<PeakLoadRun>& runs, const std::vector<PeakLoadResult>& results) {
  fmt::print(
      "{:6} {:18} {:>4} {:8} {:>8} {:>7} {:>6} {:>6} {:>7} {:>8} {:>7} {:>8} {:>8} {:>5} {}\n",
      "mix", "service", "load", "policy", "goodput%", "refused", ">50ms", "late", "unknown",
      "retries%", "unfair%", "before99", "after99", "eject", "bound");
  bool met = true;
  for (std::size_t index = 0; index < runs.size(); ++index) {
    const PeakLoadRun& run = runs[index];
    const PeakLoadResult& result = results[index];
    const std::string verdict = CheckBounds(run, result);
    met = met && !verdict.starts_with("MISSED");
    fmt::print(
        "{:6} {:18} {:4.2f} {:8} {:8.1f} {:7} {:6} {:6} {:7} {:8.2f} {:7.1f} {:8.1f} {:8.1f} {:5} "
        "{}\n",
        MixName(run.mix), run.service.name, run.load, PolicyName(run.policy),
        100.0 * result.goodput, result.refused, result.refused_after_50_ms,
        result.refused_after_deadline, result.unknown, 100.0 * result.retry_share,
        100.0 * result.unfairness, result.p99_before_ms, result.p99_after_ms, result.ejections,
        verdict);
  }
  return met;
}

}  // namespace

int RunPeakLoadCommand(int argc, char** argv) {
  cxxopts::Options definition("pimentopin-bench crest",
                              "Peak demand of three times the capacity, in virtual time");
  AddPolicyOptions(definition, "2");
  const cxxopts::ParseResult parsed = definition.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", definition.help());
    return kExitSuccess;
  }
  const PolicyOptions options = ReadPolicyOptions(parsed);
  const std::vector<PeakLoadRun> runs = PlanRuns(options);
  if (runs.empty()) {
    fmt::print(stderr, "no runs selected; check --services and --loads\n");
    return kExitUsage;
  }
  std::vector<PeakLoadResult> results(runs.size());
  RunParallel(runs.size(), options.jobs,
              [&](std::size_t index) { results[index] = RunPeakLoad(runs[index]); });
  fmt::print("revision {}, seeds {} to {}, {}, times in ms\n", options.revision, options.first_seed,
             options.first_seed + options.seeds - 1, options.Variant());
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

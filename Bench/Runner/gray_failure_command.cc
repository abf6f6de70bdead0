#include "Bench/Runner/gray_failure_command.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdint>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Runner/command.h"
#include "Bench/Runner/gray_failure_experiment.h"
#include "Bench/Runner/json_lines.h"
#include "Bench/Runner/parallel.h"

namespace pimentopin::bench {
namespace {

constexpr ServiceShape kShapes[] = {{6, 3}, {8, 2}, {11, 3}, {11, 2}};
constexpr DetectorKind kDetectors[] = {DetectorKind::kShared, DetectorKind::kPerHost};
// Load at which the detection bounds apply.
constexpr double kBoundLoad = 0.5;

struct GrayFailureOptions {
  std::string revision;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 5;
  std::vector<double> loads;
  std::vector<std::string> cases;
  std::size_t jobs = 2;
  bool run_healthy_hour = true;
  std::string json_path;
};

std::string_view DetectorName(DetectorKind detector) {
  return detector == DetectorKind::kShared ? "fleet" : "host";
}

std::optional<GrayFailureOptions> ParseOptions(int argc, char** argv) {
  cxxopts::Options options("pimentopin-bench gray", "Detection of gray failures, in virtual time");
  options.add_options()("revision", "Git revision for the records",
                        cxxopts::value<std::string>()->default_value("unknown"))(
      "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "Seeds per case", cxxopts::value<std::size_t>()->default_value("5"))(
      "loads", "Offered loads as fractions of the capacity",
      cxxopts::value<std::vector<double>>()->default_value("0.2,0.5,0.8"))(
      "cases", "Names of the cases (default: all)",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "jobs", "Number of concurrent runs", cxxopts::value<std::size_t>()->default_value("2"))(
      "skip-hour", "Skip the runs without faults")(
      "json", "File for the JSON lines (default: standard output)",
      cxxopts::value<std::string>()->default_value(""))("help", "Show the options");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", options.help());
    return std::nullopt;
  }
  GrayFailureOptions result;
  result.revision = parsed["revision"].as<std::string>();
  result.first_seed = parsed["seed"].as<std::uint64_t>();
  result.seeds = parsed["seeds"].as<std::size_t>();
  result.loads = parsed["loads"].as<std::vector<double>>();
  result.cases = parsed["cases"].as<std::vector<std::string>>();
  std::erase(result.cases, "");
  result.jobs = parsed["jobs"].as<std::size_t>();
  result.run_healthy_hour = parsed.count("skip-hour") == 0;
  result.json_path = parsed["json"].as<std::string>();
  return result;
}

std::vector<GrayFailureRun> PlanRuns(const GrayFailureOptions& options) {
  std::vector<GrayFailureRun> runs;
  for (const GrayFailureCase& failure_case : GrayFailureCases()) {
    if (!options.cases.empty() && std::find(options.cases.begin(), options.cases.end(),
                                            failure_case.name) == options.cases.end()) {
      continue;
    }
    for (const DetectorKind detector : kDetectors) {
      for (const ServiceShape& shape : kShapes) {
        for (const double load : options.loads) {
          for (std::size_t index = 0; index < options.seeds; ++index) {
            runs.push_back({failure_case, detector, shape, load, options.first_seed + index});
          }
        }
      }
    }
  }
  return runs;
}

nlohmann::json ToJson(const GrayFailureOptions& options,
                      const GrayFailureRun& run,
                      const GrayFailureResult& result) {
  nlohmann::json line{{"command", "gray"},
                      {"revision", options.revision},
                      {"case", run.failure_case.name},
                      {"policy", DetectorName(run.detector)},
                      {"shape", run.shape.Name()},
                      {"load", run.load},
                      {"seed", run.seed},
                      {"ejections", result.ejections},
                      {"false_ejections", result.false_ejections},
                      {"below_floor", result.samples_below_floor},
                      {"good_share", result.success_share},
                      {"exposed_share", result.faulty_start_share},
                      {"p99_before_ms", result.p99_before_ms},
                      {"p99_after_ms", result.p99_after_ms},
                      {"violations", result.violations}};
  line["detection_s"] = result.detection ? nlohmann::json(ToSeconds(*result.detection)) : nullptr;
  line["bound_s"] = run.failure_case.detection_bound
                        ? nlohmann::json(ToSeconds(*run.failure_case.detection_bound))
                        : nullptr;
  return line;
}

// Results of all seeds for one case, detector, shape and load.
struct SeedSummary {
  std::vector<double> detections;
  std::size_t undetected = 0;
  std::uint64_t ejections = 0;
  std::uint64_t false_ejections = 0;
  std::uint64_t samples_below_floor = 0;
  std::uint64_t violations = 0;
  double success_share = 0.0;
  double faulty_start_share = 0.0;
  double p99_before_ms = 0.0;
  double p99_after_ms = 0.0;
};

SeedSummary SummariseSeeds(const GrayFailureResult* results, std::size_t count) {
  SeedSummary summary;
  for (const GrayFailureResult* result = results; result != results + count; ++result) {
    if (result->detection) {
      summary.detections.push_back(ToSeconds(*result->detection));
    } else {
      ++summary.undetected;
    }
    summary.ejections += result->ejections;
    summary.false_ejections += result->false_ejections;
    summary.samples_below_floor += result->samples_below_floor;
    summary.violations += result->violations;
    const auto seed_count = static_cast<double>(count);
    summary.success_share += result->success_share / seed_count;
    summary.faulty_start_share += result->faulty_start_share / seed_count;
    summary.p99_before_ms += result->p99_before_ms / seed_count;
    summary.p99_after_ms += result->p99_after_ms / seed_count;
  }
  std::sort(summary.detections.begin(), summary.detections.end());
  return summary;
}

// Returns "met" or "MISSED" if a bound applies, otherwise an empty string.
std::string CheckBounds(const GrayFailureRun& run, const SeedSummary& summary) {
  if (run.detector != DetectorKind::kShared) {
    return "";
  }
  const bool safe = summary.samples_below_floor == 0 && summary.violations == 0;
  if (run.failure_case.must_not_be_ejected) {
    return safe && summary.ejections + summary.false_ejections == 0 ? "met" : "MISSED";
  }
  if (!run.failure_case.detection_bound || run.load != kBoundLoad) {
    return safe ? "" : "MISSED";
  }
  const bool in_time = summary.undetected == 0 && !summary.detections.empty() &&
                       summary.detections.back() <= ToSeconds(*run.failure_case.detection_bound);
  return safe && in_time ? "met" : "MISSED";
}

bool PrintCases(const std::vector<GrayFailureRun>& runs,
                const std::vector<GrayFailureResult>& results,
                std::size_t seeds) {
  fmt::print(
      "{:13} {:6} {:5} {:>5} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>6} {:>8} {:>8} {:>8} {}\n",
      "case", "policy", "shape", "load", "med s", "max s", "never", "eject", "false", "floor",
      "viol", "good %", "p99 ms", "p99' ms", "bound");
  bool met = true;
  for (std::size_t first = 0; first < runs.size(); first += seeds) {
    const GrayFailureRun& run = runs[first];
    const SeedSummary summary = SummariseSeeds(&results[first], seeds);
    const std::string verdict = CheckBounds(run, summary);
    met = met && verdict != "MISSED";
    const bool any_detected = !summary.detections.empty();
    const std::string median =
        any_detected ? fmt::format("{:.2f}", summary.detections[summary.detections.size() / 2])
                     : "-";
    const std::string maximum =
        any_detected ? fmt::format("{:.2f}", summary.detections.back()) : "-";
    fmt::print(
        "{:13} {:6} {:5} {:5.2f} {:>7} {:>7} {:6} {:7} {:6} {:6} {:6} {:8.3f} {:8.1f} {:8.1f} {}\n",
        run.failure_case.name, DetectorName(run.detector), run.shape.Name(), run.load, median,
        maximum, summary.undetected, summary.ejections, summary.false_ejections,
        summary.samples_below_floor, summary.violations, 100.0 * summary.success_share,
        summary.p99_before_ms, summary.p99_after_ms, verdict);
  }
  return met;
}

bool RunHealthyHours(const GrayFailureOptions& options, std::vector<std::string>& lines) {
  std::vector<HealthyHourRun> runs;
  for (const DetectorKind detector : kDetectors) {
    for (const ServiceShape& shape : kShapes) {
      runs.push_back({.detector = detector, .shape = shape, .seed = options.first_seed});
    }
  }
  std::vector<HealthyHourResult> results(runs.size());
  RunParallel(runs.size(), options.jobs,
              [&](std::size_t index) { results[index] = RunHealthyHour(runs[index]); });
  fmt::print("\nhealthy hour: load 0.2 to 0.95 with peaks at 1.5, 2 % long work\n");
  fmt::print("{:6} {:5} {:>9} {:>7} {:>6} {:>6} {:>8} {:>8} {:>9} {}\n", "policy", "shape",
             "requests", "false", "floor", "viol", "refused", "unknown", "p99 ms", "bound");
  bool met = true;
  for (std::size_t index = 0; index < runs.size(); ++index) {
    const HealthyHourRun& run = runs[index];
    const HealthyHourResult& result = results[index];
    const bool is_shared = run.detector == DetectorKind::kShared;
    const bool good =
        result.false_ejections == 0 && result.samples_below_floor == 0 && result.violations == 0;
    met = met && (good || !is_shared);
    fmt::print("{:6} {:5} {:9} {:7} {:6} {:6} {:8} {:8} {:9.1f} {}\n", DetectorName(run.detector),
               run.shape.Name(), result.requests, result.false_ejections,
               result.samples_below_floor, result.violations, result.refused, result.unknown,
               result.p99_ms, is_shared ? (good ? "met" : "MISSED") : "");
    lines.push_back(nlohmann::json{{"command", "gray"},
                                   {"revision", options.revision},
                                   {"case", "healthy-hour"},
                                   {"policy", DetectorName(run.detector)},
                                   {"shape", run.shape.Name()},
                                   {"load", "0.2-0.95, peaks 1.5"},
                                   {"seed", run.seed},
                                   {"requests", result.requests},
                                   {"false_ejections", result.false_ejections},
                                   {"below_floor", result.samples_below_floor},
                                   {"refused", result.refused},
                                   {"unknown", result.unknown},
                                   {"p99_ms", result.p99_ms},
                                   {"violations", result.violations}}
                        .dump());
  }
  return met;
}

}  // namespace

int RunGrayFailureCommand(int argc, char** argv) {
  const std::optional<GrayFailureOptions> options = ParseOptions(argc, argv);
  if (!options) {
    return kExitSuccess;
  }
  const std::vector<GrayFailureRun> runs = PlanRuns(*options);
  if (runs.empty()) {
    fmt::print(stderr, "no runs selected; check --cases, --loads and --seeds\n");
    return kExitUsage;
  }
  std::vector<GrayFailureResult> results(runs.size());
  RunParallel(runs.size(), options->jobs,
              [&](std::size_t index) { results[index] = RunGrayFailure(runs[index]); });
  fmt::print("revision {}, seeds {} to {}\n", options->revision, options->first_seed,
             options->first_seed + options->seeds - 1);
  bool met = PrintCases(runs, results, options->seeds);
  std::vector<std::string> lines;
  for (std::size_t index = 0; index < runs.size(); ++index) {
    lines.push_back(ToJson(*options, runs[index], results[index]).dump());
  }
  if (options->run_healthy_hour) {
    met = RunHealthyHours(*options, lines) && met;
  }
  if (!WriteJsonLines(options->json_path, lines)) {
    fmt::print(stderr, "cannot write {}\n", options->json_path);
    return kExitUsage;
  }
  fmt::print("{}\n", met ? "all stated bounds met" : "stated bounds MISSED, see above");
  return met ? kExitSuccess : kExitFailure;
}

}  // namespace pimentopin::bench

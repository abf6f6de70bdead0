#include "Bench/Runner/policy_options.h"

#include <fmt/core.h>

#include <algorithm>

namespace pimentopin::bench {

std::string PolicyOptions::Variant() const {
  const BrokerPolicy default_policy;
  std::string text;
  if (!this->optimistic_starts) {
    text += " no-optimistic";
  }
  if (this->broker.overcommit_per_target != default_policy.overcommit_per_target) {
    text += fmt::format(" ahead={}", this->broker.overcommit_per_target);
  }
  if (this->broker.fixed_long_fraction != default_policy.fixed_long_fraction) {
    text += fmt::format(" fixed-long={}", this->broker.fixed_long_fraction);
  }
  if (this->broker.long_headroom != default_policy.long_headroom) {
    text += fmt::format(" headroom={}", this->broker.long_headroom);
  }
  if (this->broker.max_long_bypass != default_policy.max_long_bypass) {
    text += fmt::format(" pass-over-ms={}", this->broker.max_long_bypass.count() / 1000);
  }
  if (this->broker.short_first != default_policy.short_first) {
    text += " by-arrival";
  }
  return text.empty() ? "shipped" : text.substr(1);
}

void AddPolicyOptions(cxxopts::Options& options, const std::string& default_seeds) {
  const BrokerPolicy default_policy;
  options.add_options()("revision", "Git revision for the records",
                        cxxopts::value<std::string>()->default_value("unknown"))(
      "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "Seeds per case; results are pooled",
      cxxopts::value<std::size_t>()->default_value(default_seeds))(
      "loads", "Offered loads as fractions of the capacity",
      cxxopts::value<std::vector<double>>()->default_value("0.5,0.7,0.85,0.95"))(
      "services", "Names of the services (default: all)",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "jobs", "Number of concurrent runs", cxxopts::value<std::size_t>()->default_value("2"))(
      "json", "File for the JSON lines (default: standard output)",
      cxxopts::value<std::string>()->default_value(""))(
      "ahead", "Requests granted ahead per busy target",
      cxxopts::value<std::uint32_t>()->default_value(
          std::to_string(default_policy.overcommit_per_target)))(
      "fixed-long", "Fixed fraction of the slots for long work (0: adaptive)",
      cxxopts::value<double>()->default_value("0"))(
      "headroom", "Factor on the measured share of long work",
      cxxopts::value<double>()->default_value(fmt::format("{}", default_policy.long_headroom)))(
      "pass-over-ms", "Time for which long work may be passed over",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(default_policy.max_long_bypass.count() / 1000)))(
      "by-arrival", "Serve short and long work in order of arrival")(
      "no-optimistic", "Ask the broker for every slot")("help", "Show the options");
}

PolicyOptions ReadPolicyOptions(const cxxopts::ParseResult& parsed) {
  PolicyOptions options;
  options.revision = parsed["revision"].as<std::string>();
  options.first_seed = parsed["seed"].as<std::uint64_t>();
  options.seeds = parsed["seeds"].as<std::size_t>();
  options.loads = parsed["loads"].as<std::vector<double>>();
  options.jobs = parsed["jobs"].as<std::size_t>();
  options.json_path = parsed["json"].as<std::string>();
  options.broker.overcommit_per_target = parsed["ahead"].as<std::uint32_t>();
  options.broker.fixed_long_fraction = parsed["fixed-long"].as<double>();
  options.broker.long_headroom = parsed["headroom"].as<double>();
  options.broker.max_long_bypass =
      std::chrono::milliseconds(parsed["pass-over-ms"].as<std::int64_t>());
  options.broker.short_first = parsed.count("by-arrival") == 0;
  options.optimistic_starts = parsed.count("no-optimistic") == 0;
  std::vector<std::string> names = parsed["services"].as<std::vector<std::string>>();
  std::erase(names, "");
  for (const DeployedService& service : DeployedServices()) {
    if (names.empty() || std::find(names.begin(), names.end(), service.name) != names.end()) {
      options.services.push_back(service);
    }
  }
  return options;
}

}  // namespace pimentopin::bench

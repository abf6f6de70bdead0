#pragma once

#include <cstdint>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "Bench/Runner/deployments.h"
#include "Libraries/LibDispatch/broker_policy.h"

namespace pimentopin::bench {

// Options shared by the commands blocking and crest.
struct PolicyOptions {
  std::string revision;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  std::vector<double> loads;
  std::vector<DeployedService> services;
  std::size_t jobs = 2;
  std::string json_path;
  BrokerPolicy broker;
  bool optimistic_starts = true;

  // Lists the differences from the default policy; "shipped" if there are none.
  std::string Variant() const;
};

void AddPolicyOptions(cxxopts::Options& options, const std::string& default_seeds);
PolicyOptions ReadPolicyOptions(const cxxopts::ParseResult& parsed);

}  // namespace pimentopin::bench

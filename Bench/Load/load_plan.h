#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/findings.h"

namespace pimentopin {

// Requests of one kind, which start as a Poisson process.
struct LoadStream {
  std::string name;
  std::string service;
  std::vector<std::string> callers;
  std::string method = "GET";
  std::string path = "/";
  double rate_per_s = 1;
  // Size in bytes of the pattern in the response body.
  std::size_t pattern_size = 1000;
  bool is_long = false;
  // If non-zero, the number of distinct paths among which the requests alternate.
  std::size_t distinct_paths = 0;
  // Requests have an idempotency key.
  bool sends_idempotency_key = false;
  // Share of the requests with an idempotency key that are sent a second time,
  // possibly through another host.
  double duplicate_share = 0;
  int deadline_ms = 5000;

  friend bool operator==(const LoadStream&, const LoadStream&) = default;
};

struct LoadPlan {
  std::vector<LoadStream> streams;

  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

// Parses a load plan. On failure, adds the errors to `findings` and returns nothing.
std::optional<LoadPlan> ReadLoadPlan(std::string_view json, Findings& findings);

}  // namespace pimentopin

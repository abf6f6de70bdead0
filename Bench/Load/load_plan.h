#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/findings.h"

namespace pimentopin {

// One kind of request, sent as a Poisson process.
struct LoadStream {
  std::string name;
  std::string service;
  std::vector<std::string> callers;
  std::string method = "GET";
  std::string path = "/";
  double rate_per_s = 1;
  // Bytes of the answer's pattern.
  std::size_t size = 1000;
  bool is_long = false;
  // Non-zero: requests share this many different paths.
  std::size_t documents = 0;
  // Sends an idempotency key.
  bool keyed = false;
  // Share of keyed requests that are sent a second time through another host.
  double resend_share = 0;
  int deadline_ms = 5000;

  friend bool operator==(const LoadStream&, const LoadStream&) = default;
};

struct LoadPlan {
  std::vector<LoadStream> streams;

  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

std::optional<LoadPlan> ReadLoadPlan(std::string_view json, Findings& findings);

}  // namespace pimentopin

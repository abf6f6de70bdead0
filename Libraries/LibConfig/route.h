#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// A service of a route with the weight of its share of the requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

// Maps requests by host name and path prefix to services. Of the routes of a
// host name, the one with the longest matching prefix applies.
struct Route {
  std::string name;
  // Host name of the request's Host header, without the port.
  std::string host;
  // Starts and ends with '/'.
  std::string path_prefix;
  // At least one. Requests are distributed over the services by weight.
  std::vector<WeightedService> services;
  // Name of the caller that requests without a caller name are attributed to.
  // Access rules apply to it.
  std::string caller;
  bool idempotent = false;
  // Responses are large, so targets in the host's own failure domain are preferred.
  bool bulk = false;
  // Maximum number of targets that one request is sent to.
  std::uint32_t max_attempts = 1;
  // Maximum time until the final response.
  Duration timeout{};
  // Desired response time; later responses are of less value to the caller.
  Duration latency_objective{};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Requests need no key, even if the configuration requires keys.
  bool anonymous = false;

  // Selects a service by weight. The result depends only on the hash; evenly
  // distributed hashes select each service in proportion to its weight.
  const std::string& SelectService(std::uint64_t hash) const;

  friend bool operator==(const Route&, const Route&) = default;
};

// Returns the value of a Host header without the port.
std::string_view HostWithoutPort(std::string_view host_header);

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/LibConfig/configuration.h"

namespace pimentopin {

// A target that registered itself in the platform's store.
struct RegisteredTarget {
  // Also the identity that the target confirms before it executes a request.
  std::string name;
  std::string service;
  // IP:port.
  std::string address;
  std::string domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  // Start time in milliseconds since the Unix epoch.
  std::uint64_t incarnation = 0;

  friend bool operator==(const RegisteredTarget&, const RegisteredTarget&) = default;
};

// Returns a copy of the configuration with the registered targets added. Targets
// of services that are not in the configuration are omitted.
Configuration WithRegisteredTargets(const Configuration& configuration,
                                    const std::vector<RegisteredTarget>& registered_targets);

}  // namespace pimentopin

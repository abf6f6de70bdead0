#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "Libraries/LibCore/findings.h"
#include "Libraries/LibHost/host_settings.h"

namespace pimentopin {

// Limits that the platform sets for the whole fleet. A limit without a value is not set.
struct PlatformLimits {
  // Retries of a service within 10 s: per request, and in addition.
  std::optional<double> retry_ratio;
  std::optional<double> retry_extra;
  // Share (0 to 1) of a service's usable targets that must receive requests.
  std::optional<double> floor_share;
  // Time in seconds between telling a host to stop and ending it.
  std::optional<double> shutdown_grace_s;
  // Time in seconds after which no host accepts a withdrawn key.
  std::optional<double> key_revocation_s;

  friend bool operator==(const PlatformLimits&, const PlatformLimits&) = default;
};

// Replaces the host's limits by those that the platform sets.
void ApplyPlatformLimits(const PlatformLimits& limits, HostSettings& settings);

// Adds a finding for each limit in force that this host cannot keep.
void CheckLimits(const HostSettings& settings, Findings& findings);

// False if the platform writes the configuration and a limit in force does not come from it.
bool HasAllPlatformLimits(const HostSettings& settings);

// The limits of a host with these settings, and whether the platform or a flag sets each of them.
nlohmann::json LimitsInForce(const HostSettings& settings);

}  // namespace pimentopin

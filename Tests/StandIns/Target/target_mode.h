#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// What a target does with requests from hosts for which it is unreachable: it closes the
// connection, or it does not respond.
enum class UnreachableMode { kRefuse, kIgnore };

// Faults that can be changed at run time by POST /control. Rates are in [0, 1].
struct TargetMode {
  // Factor on the service time.
  double slow_factor = 1.0;
  // Share of responses with status 500.
  double error_rate = 0.0;
  // Share of responses with a wrong attempt id or a wrong digest.
  double wrong_rate = 0.0;
  // Share of responses with a truncated body.
  double truncate_rate = 0.0;
  bool drain = false;
  bool shed = false;
  // In JSON, the following members are named deaf_mode, deaf_domains and deaf_hosts.
  UnreachableMode unreachable_mode = UnreachableMode::kRefuse;
  // Values of Pimentopin-Host-Domain and Pimentopin-Host for which the target is unreachable.
  std::vector<std::string> unreachable_from_domains;
  std::vector<std::string> unreachable_from_hosts;
  // The process exits while it runs a request whose path contains this text. Disabled if empty.
  std::string crash_path;

  friend bool operator==(const TargetMode&, const TargetMode&) = default;

  // Returns a copy with the values of the members in the JSON text. On failure, sets `error` and
  // returns nothing.
  std::optional<TargetMode> WithChanges(const std::string& text, Error& error) const;
  nlohmann::json ToJson() const;
};

}  // namespace pimentopin

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// What a deaf target does with requests of the hosts it does not serve.
enum class DeafMode { kRefuse, kIgnore };

// Faults that can be changed at run time by POST /control. Rates are in [0, 1].
struct TargetMode {
  // Factor on the service time.
  double slow_factor = 1.0;
  // Share of answers with status 500.
  double error_rate = 0.0;
  // Share of answers with a wrong attempt id or a wrong digest.
  double wrong_rate = 0.0;
  // Share of answers that break off in the body.
  double truncate_rate = 0.0;
  bool drain = false;
  bool shed = false;
  DeafMode deaf_mode = DeafMode::kRefuse;
  // Names in Pimentopin-Host-Domain and Pimentopin-Host of the hosts that are not served.
  std::vector<std::string> deaf_domains;
  std::vector<std::string> deaf_hosts;
  // The process exits while it runs a request whose path contains this text; empty turns it off.
  std::string crash_path;

  friend bool operator==(const TargetMode&, const TargetMode&) = default;

  // This mode with the members named in the JSON text changed.
  std::optional<TargetMode> With(const std::string& text, Error& error) const;
  nlohmann::json ToJson() const;
};

}  // namespace pimentopin

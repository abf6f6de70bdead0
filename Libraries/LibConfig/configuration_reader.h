#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/findings.h"

namespace pimentopin {

// Limits that keep a malicious or malformed document from exhausting the memory
// or stack of a host.
struct ConfigurationLimits {
  // Hosts send a document to each other in one frame of at most 1 MiB, of which
  // 16 KiB are reserved for the other fields.
  std::size_t max_bytes = (1 << 20) - 16 * 1024;
  // The deepest valid document has six levels.
  std::size_t max_depth = 16;
  // Errors beyond this number are counted, but not listed.
  std::size_t max_findings = 1000;
};

// Reads and validates a configuration document. Adds every error to `findings`
// with its JSON pointer, or with line and column (in bytes, from 1) for a syntax
// error. Returns an indexed configuration if there are no errors, otherwise
// std::nullopt.
std::optional<Configuration> ReadConfiguration(std::string_view json,
                                               std::uint64_t revision,
                                               Findings& findings,
                                               const ConfigurationLimits& limits = {});

}  // namespace pimentopin

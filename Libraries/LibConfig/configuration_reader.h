#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/findings.h"

namespace pimentopin {

// Bounds that keep a hostile or broken document from exhausting a host.
struct ConfigurationLimits {
  // A document travels between hosts in one frame of at most 1 MiB; 16 KiB are
  // left for the rest of the frame.
  std::size_t max_bytes = (1 << 20) - 16 * 1024;
  // The deepest valid document has six levels.
  std::size_t max_depth = 16;
  // Further faults are counted, but not listed.
  std::size_t max_findings = 1000;
};

// Reads a configuration document. Every fault is added to `findings` with its
// JSON pointer, a syntax error with line and column (in bytes, from 1). Returns
// a value, with its look-ups indexed, only if there is no fault.
std::optional<Configuration> ReadConfiguration(std::string_view json,
                                               std::uint64_t revision,
                                               Findings& findings,
                                               const ConfigurationLimits& limits = {});

}  // namespace pimentopin

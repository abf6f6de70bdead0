#pragma once

#include <cstdint>

namespace pimentopin {

// Milliseconds since the Unix epoch, for timestamps in records.
std::uint64_t WallClockMs();

}  // namespace pimentopin

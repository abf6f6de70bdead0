#pragma once

#include <cstdint>

namespace pimentopin {

// Milliseconds since the Unix epoch, for records that people read.
std::uint64_t WallClockMs();

}  // namespace pimentopin

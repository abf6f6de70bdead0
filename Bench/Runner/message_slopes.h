#pragma once

#include <vector>

#include "Bench/Runner/slope.h"

namespace pimentopin::bench {

// Measures the size of messages and the CPU time to encode and decode them.
std::vector<Slope> MeasureMessageSlopes();
// Measures the CPU time of broker and dispatcher per request, and the bytes of views.
std::vector<Slope> MeasureBrokerSlopes();

}  // namespace pimentopin::bench

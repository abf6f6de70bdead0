#pragma once

#include <vector>

#include "Bench/Runner/slope.h"

namespace pimentopin::bench {

// Measures memory, parsing time and document size per target, organisation and route.
std::vector<Slope> MeasureConfigurationSlopes();

}  // namespace pimentopin::bench

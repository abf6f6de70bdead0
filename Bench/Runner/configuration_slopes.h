#pragma once

#include <vector>

#include "Bench/Runner/slope.h"

namespace pimentopin::bench {

// Memory, parsing time and document size per target, organisation and rule.
std::vector<Slope> MeasureConfigurationSlopes();

}  // namespace pimentopin::bench

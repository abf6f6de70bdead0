#pragma once

#include <vector>

#include "Bench/Runner/slope.h"

namespace pimentopin::bench {

// Size and processor time of messages, and the cost of broker and dispatcher
// for each request.
std::vector<Slope> MeasureMessageSlopes();
std::vector<Slope> MeasureBrokerSlopes();

}  // namespace pimentopin::bench

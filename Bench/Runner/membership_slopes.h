#pragma once

#include <vector>

#include "Bench/Runner/slope.h"

namespace pimentopin::bench {

// Measures the cost of the host directory and the propagation of a configuration by
// number of hosts, in virtual time with a link delay of 1.5 ms.
std::vector<Slope> MeasureMembershipSlopes();

}  // namespace pimentopin::bench

#pragma once

#include <cstddef>

#include "Tests/LibMembership/simulated_fleet.h"

namespace pimentopin {

constexpr std::size_t kThinLinkHosts = 136;

// Starts kThinLinkHosts hosts in domains of about 45, waits until they know each other and have
// adopted revision 1, and limits their links: `large_hosts_per_domain` of them to 200 Mbit/s, the
// others to 10 Mbit/s.
void StartThinLinkFleet(SimulatedFleet& fleet, std::size_t large_hosts_per_domain);

}  // namespace pimentopin

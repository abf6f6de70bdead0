#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

// Ranks the hosts for a key by rendezvous hashing; the first host is the preferred
// owner. When a host joins or leaves, only the keys that it owns change owner.
std::vector<HostId> RendezvousRank(std::uint64_t key, std::vector<HostId> hosts);

}  // namespace pimentopin

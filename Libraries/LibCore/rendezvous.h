#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

// Orders hosts by rendezvous hashing for a key; the first is the preferred
// owner. A host that joins or leaves moves only the keys it wins or loses.
std::vector<HostId> RendezvousRank(std::uint64_t key, std::vector<HostId> hosts);

}  // namespace pimentopin

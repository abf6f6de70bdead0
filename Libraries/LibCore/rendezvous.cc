#include "Libraries/LibCore/rendezvous.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

std::vector<HostId> RendezvousRank(std::uint64_t key, std::vector<HostId> hosts) {
  std::sort(hosts.begin(), hosts.end(), [key](HostId left, HostId right) {
    const auto left_score = std::pair(StableHash(key, RawId(left)), RawId(left));
    const auto right_score = std::pair(StableHash(key, RawId(right)), RawId(right));
    return left_score > right_score;
  });
  return hosts;
}

}  // namespace pimentopin

#include "Libraries/LibQuota/quota_holders.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {

std::vector<QuotaCandidate> AssignQuotaParts(const std::vector<QuotaCandidate>& candidates) {
  std::vector<QuotaCandidate> holders;
  if (candidates.empty()) {
    return holders;
  }
  std::vector<HostId> hosts;
  for (const QuotaCandidate& candidate : candidates) {
    hosts.push_back(candidate.host);
  }
  for (std::size_t part = 0; part < kQuotaParts; ++part) {
    QuotaCandidate best = candidates.front();
    std::optional<std::pair<std::ptrdiff_t, std::ptrdiff_t>> fewest;
    for (const HostId host : RendezvousRank(StableHash("quota-part", part), hosts)) {
      const auto candidate =
          std::find_if(candidates.begin(), candidates.end(),
                       [host](const QuotaCandidate& entry) { return entry.host == host; });
      const std::pair parts_held(
          std::count(holders.begin(), holders.end(), *candidate),
          std::count_if(holders.begin(), holders.end(), [&](const QuotaCandidate& holder) {
            return holder.domain == candidate->domain;
          }));
      if (!fewest || parts_held < *fewest) {
        best = *candidate;
        fewest = parts_held;
      }
    }
    holders.push_back(best);
  }
  return holders;
}

std::vector<std::size_t> QuotaPartOrder(const std::vector<QuotaCandidate>& holders,
                                        HostId self,
                                        DomainId domain) {
  std::vector<std::size_t> order(holders.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    const auto rank = [&](std::size_t part) {
      return std::tuple(holders[part].domain != domain, StableHash(RawId(self), part), part);
    };
    return rank(left) < rank(right);
  });
  return order;
}

}  // namespace pimentopin

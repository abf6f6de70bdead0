#pragma once

#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibQuota/quota_limit.h"

namespace pimentopin {

struct QuotaCandidate {
  HostId host{};
  DomainId domain{};

  friend bool operator==(const QuotaCandidate&, const QuotaCandidate&) = default;
};

// The host that may acquire each part. Parts are spread over failure domains and over hosts as far
// as there are any. Empty without candidates. Hosts that know the same candidates agree.
std::vector<QuotaCandidate> AssignQuotaParts(const std::vector<QuotaCandidate>& candidates);

// The order in which a host asks the holders: that of its own failure domain first, then one that
// differs from host to host.
std::vector<std::size_t> QuotaPartOrder(const std::vector<QuotaCandidate>& holders,
                                        HostId self,
                                        DomainId domain);

}  // namespace pimentopin

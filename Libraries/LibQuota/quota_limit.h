#pragma once

#include <cstddef>
#include <map>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

// The same on all hosts at all times, as the parts of a quota must add up to it.
constexpr std::size_t kQuotaParts = 4;

// Quota of an organisation over all hosts.
struct QuotaLimit {
  double requests_per_second = 0;
  // Requests beyond that at once.
  double burst = 0;

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

// Organisations without a limit are not included.
using QuotaLimits = std::map<OrganisationId, QuotaLimit>;

}  // namespace pimentopin

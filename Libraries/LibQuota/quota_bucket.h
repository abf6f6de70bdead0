#pragma once

#include <cstdint>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibQuota/quota_limit.h"

namespace pimentopin {

// Token bucket of one part of an organisation's quota. Begins empty.
class QuotaBucket {
 public:
  QuotaBucket(BootTimePoint now, const QuotaLimit& limit);

  // Earlier time counts at the earlier rate; the level is cut to the new capacity.
  void SetLimit(BootTimePoint now, const QuotaLimit& limit);
  // Takes up to `wanted` tokens and returns their number.
  std::uint16_t Take(BootTimePoint now, std::uint16_t wanted);
  // Time until a token is left for a caller that comes back after all those that Take() has refused
  // and that were told to come back later.
  Duration RetryAfter(BootTimePoint now);

 private:
  void Refill(BootTimePoint now);

  QuotaLimit limit;
  // Tokens per second, and the largest number kept.
  double rate = 0;
  double capacity = 0;
  double level = 0;
  // Refused tokens that their callers may ask for again.
  double backlog = 0;
  BootTimePoint refilled_at;
};

}  // namespace pimentopin

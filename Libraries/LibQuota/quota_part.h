#pragma once

#include <map>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibProtocol/quota_messages.h"
#include "Libraries/LibQuota/quota_bucket.h"
#include "Libraries/LibQuota/quota_limit.h"

namespace pimentopin {

// One part of the quotas of all organisations, at the host that holds it.
class QuotaPart {
 public:
  // Begins with empty buckets, so that nothing has to be known about earlier holders.
  QuotaPart(BootTimePoint now, const QuotaLimits& limits);

  void Configure(BootTimePoint now, const QuotaLimits& limits);
  QuotaReply OnRequest(BootTimePoint now, const QuotaRequest& request);

 private:
  std::map<OrganisationId, QuotaBucket> buckets;
};

}  // namespace pimentopin

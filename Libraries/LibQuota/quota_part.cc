#include "Libraries/LibQuota/quota_part.h"

namespace pimentopin {

QuotaPart::QuotaPart(BootTimePoint now, const QuotaLimits& limits) {
  this->Configure(now, limits);
}

void QuotaPart::Configure(BootTimePoint now, const QuotaLimits& limits) {
  std::erase_if(this->buckets,
                [&limits](const auto& entry) { return !limits.contains(entry.first); });
  for (const auto& [organisation, limit] : limits) {
    const auto [bucket, is_new] = this->buckets.try_emplace(organisation, now, limit);
    if (!is_new) {
      bucket->second.SetLimit(now, limit);
    }
  }
}

QuotaReply QuotaPart::OnRequest(BootTimePoint now, const QuotaRequest& request) {
  QuotaReply reply{.request = request.request,
                   .organisation = request.organisation,
                   .part = request.part,
                   .holds = true};
  const auto bucket = this->buckets.find(request.organisation);
  if (bucket == this->buckets.end()) {
    // The configuration of this host sets no limit.
    reply.granted = request.wanted;
    return reply;
  }
  reply.granted = bucket->second.Take(now, request.wanted);
  if (reply.granted < request.wanted) {
    reply.retry_after = bucket->second.RetryAfter(now);
  }
  return reply;
}

}  // namespace pimentopin

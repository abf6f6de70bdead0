#include "Libraries/LibDispatch/unserved_share.h"

namespace pimentopin {
namespace {

// Sound targets fail one to two percent of the requests, and a single failed target of ten about
// as many as this.
constexpr double kHighShare = 0.1;
// With fewer requests, two failures by chance would exceed the share.
constexpr std::uint32_t kMinRequests = 20;

std::int64_t BucketIndex(TimePoint now, Duration bucket) {
  return now.time_since_epoch() / bucket;
}

}  // namespace

void UnservedShare::Record(TimePoint now, bool served) {
  const std::int64_t index = BucketIndex(now, kBucketDuration);
  Bucket& bucket = this->buckets[static_cast<std::size_t>(index) % kBucketCount];
  if (bucket.index != index) {
    bucket = {.index = index};
  }
  ++(served ? bucket.served : bucket.unserved);
}

bool UnservedShare::IsHigh(TimePoint now) const {
  const std::int64_t newest = BucketIndex(now, kBucketDuration);
  std::uint32_t served = 0;
  std::uint32_t unserved = 0;
  for (const Bucket& bucket : this->buckets) {
    if (bucket.index >= 0 && newest - bucket.index < static_cast<std::int64_t>(kBucketCount)) {
      served += bucket.served;
      unserved += bucket.unserved;
    }
  }
  const std::uint32_t requests = served + unserved;
  return requests >= kMinRequests &&
         static_cast<double>(unserved) >= kHighShare * static_cast<double>(requests);
}

}  // namespace pimentopin

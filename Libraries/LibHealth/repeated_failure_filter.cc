#include "Libraries/LibHealth/repeated_failure_filter.h"

namespace pimentopin {
namespace {

constexpr Duration kRetention = std::chrono::minutes(1);
// Bounds the memory use. When this many requests fail, repeated ones need not be told
// apart: failures of further requests count against the target.
constexpr std::size_t kMaxFingerprints = 1024;

}  // namespace

bool RepeatedFailureFilter::RecordFailure(TimePoint now, Fingerprint fingerprint) {
  if (fingerprint == Fingerprint{}) {
    return true;
  }
  const auto found = this->failed_requests.find(fingerprint);
  if (found == this->failed_requests.end()) {
    if (this->failed_requests.size() < kMaxFingerprints) {
      this->failed_requests[fingerprint].last_failure = now;
    }
    return true;
  }
  const bool expired = now - found->second.last_failure > kRetention;
  if (expired) {
    found->second.succeeded = false;
  }
  found->second.last_failure = now;
  return expired || found->second.succeeded;
}

void RepeatedFailureFilter::RecordSuccess(Fingerprint fingerprint) {
  const auto found = this->failed_requests.find(fingerprint);
  if (found != this->failed_requests.end()) {
    found->second.succeeded = true;
  }
}

void RepeatedFailureFilter::Tick(TimePoint now) {
  std::erase_if(this->failed_requests,
                [now](const auto& entry) { return now - entry.second.last_failure > kRetention; });
}

}  // namespace pimentopin

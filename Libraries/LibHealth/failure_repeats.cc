#include "Libraries/LibHealth/failure_repeats.h"

namespace pimentopin {
namespace {

constexpr Duration kMemory = std::chrono::minutes(1);
// When everything fails, single requests need not be told apart.
constexpr std::size_t kMaximumFingerprints = 1024;

}  // namespace

bool FailureRepeats::RecordFailure(TimePoint now, Fingerprint fingerprint) {
  if (fingerprint == Fingerprint{}) {
    return true;
  }
  const auto known = this->failures.find(fingerprint);
  if (known == this->failures.end()) {
    if (this->failures.size() < kMaximumFingerprints) {
      this->failures[fingerprint].last = now;
    }
    return true;
  }
  const bool expired = now - known->second.last > kMemory;
  if (expired) {
    known->second.succeeded = false;
  }
  known->second.last = now;
  return expired || known->second.succeeded;
}

void FailureRepeats::RecordSuccess(Fingerprint fingerprint) {
  const auto known = this->failures.find(fingerprint);
  if (known != this->failures.end()) {
    known->second.succeeded = true;
  }
}

void FailureRepeats::Tick(TimePoint now) {
  std::erase_if(this->failures,
                [now](const auto& entry) { return now - entry.second.last > kMemory; });
}

}  // namespace pimentopin

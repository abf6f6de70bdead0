#pragma once

#include <map>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Detects requests that fail repeatedly. A caller that repeats one invalid request,
// bound to one target by affinity, must not make the target look faulty.
class RepeatedFailureFilter {
 public:
  // Returns true if the failure is evidence against the target: the fingerprint is
  // unknown (zero), has not failed within the last minute, or has also succeeded since
  // its first failure.
  bool RecordFailure(TimePoint now, Fingerprint fingerprint);
  void RecordSuccess(Fingerprint fingerprint);
  void Tick(TimePoint now);

 private:
  struct FailedRequest {
    TimePoint last_failure;
    bool succeeded = false;
  };

  std::map<Fingerprint, FailedRequest> failed_requests;
};

}  // namespace pimentopin

#pragma once

#include <map>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Recognises requests that fail again and again. A caller that repeats one
// faulty request, bound to one target by affinity, must not make it look sick.
class FailureRepeats {
 public:
  // Returns true if the failure says something about the target: the
  // fingerprint is unknown (zero), has not failed within the last minute, or
  // has also succeeded since it failed first.
  bool RecordFailure(TimePoint now, Fingerprint fingerprint);
  void RecordSuccess(Fingerprint fingerprint);
  void Tick(TimePoint now);

 private:
  struct Failures {
    TimePoint last;
    bool succeeded = false;
  };

  std::map<Fingerprint, Failures> failures;
};

}  // namespace pimentopin

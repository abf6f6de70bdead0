#pragma once

#include <map>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Sorts lost connections into deaths of a target and request fingerprints that
// crash targets.
class CrashEvidence {
 public:
  struct Assessment {
    // The loss is new evidence against the target.
    bool counts = false;
    // Targets whose counted death is now explained by the fingerprint.
    std::vector<TargetId> exonerated;

    friend bool operator==(const Assessment&, const Assessment&) = default;
  };

  // `fingerprint` zero: unknown.
  Assessment RecordLoss(TimePoint now, TargetId target, Fingerprint fingerprint);
  // The target responded; a later loss is a new event.
  void RecordContact(TimePoint now, TargetId target);
  void Tick(TimePoint now);

 private:
  struct Death {
    TimePoint started;
    // Counts as evidence against the target.
    bool counted = false;
    // A crash fingerprint explains it.
    bool explained = false;
    bool ended = false;
    std::set<Fingerprint> fingerprints;
  };
  struct Victims {
    std::set<TargetId> targets;
    TimePoint last_loss;
  };

  // Marks the deaths that involve the fingerprint as explained by it.
  std::vector<TargetId> Explain(Fingerprint fingerprint);

  // The last death of each target: one loss per request in flight.
  std::map<TargetId, Death> deaths;
  std::map<Fingerprint, Victims> victims;
};

}  // namespace pimentopin

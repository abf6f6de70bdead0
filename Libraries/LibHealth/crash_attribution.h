#pragma once

#include <map>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Attributes lost connections either to a crash of the target or to a request
// fingerprint that crashes targets.
class CrashAttribution {
 public:
  struct Assessment {
    // The lost connection is new evidence against the target.
    bool counts_against_target = false;
    // Targets whose crash counted against them and is now attributed to the
    // fingerprint.
    std::vector<TargetId> cleared_targets;

    friend bool operator==(const Assessment&, const Assessment&) = default;
  };

  // A zero `fingerprint` means unknown.
  Assessment RecordLostConnection(TimePoint now, TargetId target, Fingerprint fingerprint);
  // Records a response of the target; a later lost connection belongs to a new crash.
  void RecordResponse(TimePoint now, TargetId target);
  void Tick(TimePoint now);

 private:
  struct Crash {
    TimePoint started_at;
    // Counts as evidence against the target.
    bool counted = false;
    // A request fingerprint that crashes targets accounts for it.
    bool caused_by_request = false;
    bool ended = false;
    std::set<Fingerprint> fingerprints;
  };
  struct AffectedTargets {
    std::set<TargetId> targets;
    TimePoint last_lost_connection;
  };

  // Attributes the crashes that involve the fingerprint to it. Returns the targets that
  // had a crash counted against them.
  std::vector<TargetId> AttributeToRequest(Fingerprint fingerprint);

  // The last crash of each target; it covers the lost connections of all requests in
  // flight.
  std::map<TargetId, Crash> crashes;
  std::map<Fingerprint, AffectedTargets> affected_targets;
};

}  // namespace pimentopin

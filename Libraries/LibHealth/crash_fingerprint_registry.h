#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Registry of the fingerprints of requests that were in flight when a target crashed.
// Each host has one. Hosts exchange records in their notices, and a record expires
// after kRetention.
class CrashFingerprintRegistry {
 public:
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // A request is blocked once targets crashed this many times while running it.
  static constexpr std::size_t kBlockingCrashCount = 2;

  CrashFingerprintRegistry() = default;

  // Records that `target` crashed while running the request. Requests with the same
  // fingerprint that were in flight at one crash count once.
  void RecordCrash(TimePoint now,
                   ServiceId service,
                   Fingerprint fingerprint,
                   TargetId target,
                   AttemptId attempt);
  // Records that a target has served the request, which therefore does not crash targets. Requests
  // without a body share a fingerprint if they have the same path, and a target that fails breaks
  // off whatever it runs.
  void RecordSuccess(Fingerprint fingerprint);
  void Merge(TimePoint now, const std::vector<FingerprintRecord>& records);
  void Tick(TimePoint now);

  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsBlocked(Fingerprint fingerprint) const;
  // Returns at most `limit` records for a notice, newest first.
  std::vector<FingerprintRecord> Records(TimePoint now, std::size_t limit) const;

 private:
  struct Crash {
    TimePoint recorded_at;
    // Another entry already represents the same crash.
    bool is_duplicate = false;
  };
  struct Entry {
    ServiceId service{};
    TimePoint expires_at;
    std::map<AttemptId, Crash> crashes;

    std::vector<AttemptId> DistinctCrashes() const;
  };

  void Add(TimePoint now, const FingerprintRecord& record);

  std::map<Fingerprint, Entry> entries;
  // The last fingerprints that were served, oldest first, and the same as a set.
  std::deque<Fingerprint> served_order;
  std::set<Fingerprint> served;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Fingerprints of requests whose targets died while running them. Every host
// has one; records spread with the hosts' notices and are forgotten after kRetention.
class FingerprintLedger {
 public:
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // A request is refused once this many targets died while running it.
  static constexpr std::size_t kBlockingKills = 2;

  FingerprintLedger() = default;

  // Requests with the same fingerprint that were in flight at one death of a
  // target count once.
  void RecordKill(TimePoint now,
                  ServiceId service,
                  Fingerprint fingerprint,
                  TargetId target,
                  AttemptId attempt);
  void Merge(TimePoint now, const std::vector<FingerprintRecord>& records);
  void Tick(TimePoint now);

  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsBlocked(Fingerprint fingerprint) const;
  // Records for a notice, newest first.
  std::vector<FingerprintRecord> Records(TimePoint now, std::size_t limit) const;

 private:
  struct Kill {
    TimePoint recorded;
    // Another kill stands for the same death.
    bool repeats_death = false;
  };
  struct Entry {
    ServiceId service{};
    TimePoint expires;
    std::map<AttemptId, Kill> kills;

    std::vector<AttemptId> DistinctKills() const;
  };

  void Add(TimePoint now, const FingerprintRecord& record);

  std::map<Fingerprint, Entry> entries;
};

}  // namespace pimentopin

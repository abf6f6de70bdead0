#include "Libraries/LibHealth/fingerprint_ledger.h"

#include <algorithm>

namespace pimentopin {
namespace {

// Notices spread a report to all hosts well within this time, so two reports
// about one target that are further apart mean two deaths.
constexpr Duration kSameDeathPeriod = std::chrono::seconds(10);
// Bounds the memory when many targets die at once.
constexpr std::size_t kMaximumFingerprints = 4096;

constexpr std::uint64_t kTargetMask = 0xffffffff00000000ULL;

AttemptId KillId(TargetId target, AttemptId attempt) {
  return AttemptId{(StableHash(RawId(target), 1) & kTargetMask) |
                   (StableHash(RawId(attempt), 2) & ~kTargetMask)};
}

bool SameTarget(AttemptId left, AttemptId right) {
  return ((RawId(left) ^ RawId(right)) & kTargetMask) == 0;
}

}  // namespace

void FingerprintLedger::RecordKill(TimePoint now,
                                   ServiceId service,
                                   Fingerprint fingerprint,
                                   TargetId target,
                                   AttemptId attempt) {
  this->Add(now, {fingerprint, service, {KillId(target, attempt)}, kRetention});
}

void FingerprintLedger::Merge(TimePoint now, const std::vector<FingerprintRecord>& records) {
  for (const FingerprintRecord& record : records) {
    this->Add(now, record);
  }
}

void FingerprintLedger::Tick(TimePoint now) {
  std::erase_if(this->entries, [now](const auto& entry) { return now >= entry.second.expires; });
}

bool FingerprintLedger::IsSuspect(Fingerprint fingerprint) const {
  return this->entries.contains(fingerprint);
}

bool FingerprintLedger::IsBlocked(Fingerprint fingerprint) const {
  const auto entry = this->entries.find(fingerprint);
  return entry != this->entries.end() && entry->second.DistinctKills().size() >= kBlockingKills;
}

std::vector<FingerprintRecord> FingerprintLedger::Records(TimePoint now, std::size_t limit) const {
  std::vector<FingerprintRecord> records;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (now < entry.expires) {
      records.push_back({fingerprint, entry.service, entry.DistinctKills(), entry.expires - now});
    }
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const FingerprintRecord& left, const FingerprintRecord& right) {
                     return left.remaining > right.remaining;
                   });
  records.resize(std::min(records.size(), limit));
  return records;
}

std::vector<AttemptId> FingerprintLedger::Entry::DistinctKills() const {
  std::vector<AttemptId> distinct;
  for (const auto& [id, kill] : this->kills) {
    if (!kill.repeats_death) {
      distinct.push_back(id);
    }
  }
  return distinct;
}

void FingerprintLedger::Add(TimePoint now, const FingerprintRecord& record) {
  const Duration remaining = std::min(record.remaining, kRetention);
  if (record.kills.empty() || remaining <= Duration{}) {
    return;
  }
  if (!this->entries.contains(record.fingerprint) && this->entries.size() >= kMaximumFingerprints) {
    this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                                         [](const auto& left, const auto& right) {
                                           return left.second.expires < right.second.expires;
                                         }));
  }
  Entry& entry = this->entries[record.fingerprint];
  entry.service = record.service;
  entry.expires = std::max(entry.expires, now + remaining);
  // The sender has told the kills of one record apart already; compare only
  // with those known before.
  const std::map<AttemptId, Kill> known = entry.kills;
  for (const AttemptId id : record.kills) {
    const bool repeats = std::any_of(known.begin(), known.end(), [now, id](const auto& other) {
      return SameTarget(other.first, id) && now - other.second.recorded <= kSameDeathPeriod;
    });
    entry.kills.try_emplace(id, Kill{now, repeats});
  }
}

}  // namespace pimentopin

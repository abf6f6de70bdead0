#include "Libraries/LibHealth/crash_fingerprint_registry.h"

#include <algorithm>

namespace pimentopin {
namespace {

// Notices reach all hosts well within this time, so two reports about one target that
// are further apart refer to two crashes.
constexpr Duration kSameCrashPeriod = std::chrono::seconds(10);
// Bounds the memory use when many targets crash at once.
constexpr std::size_t kMaxFingerprints = 4096;

constexpr std::uint64_t kTargetMask = 0xffffffff00000000ULL;

AttemptId CrashId(TargetId target, AttemptId attempt) {
  return AttemptId{(StableHash(RawId(target), 1) & kTargetMask) |
                   (StableHash(RawId(attempt), 2) & ~kTargetMask)};
}

bool SameTarget(AttemptId left, AttemptId right) {
  return ((RawId(left) ^ RawId(right)) & kTargetMask) == 0;
}

}  // namespace

void CrashFingerprintRegistry::RecordCrash(TimePoint now,
                                           ServiceId service,
                                           Fingerprint fingerprint,
                                           TargetId target,
                                           AttemptId attempt) {
  this->Add(now, {fingerprint, service, {CrashId(target, attempt)}, kRetention});
}

void CrashFingerprintRegistry::RecordSuccess(Fingerprint fingerprint) {
  this->entries.erase(fingerprint);
  if (!this->served.insert(fingerprint).second) {
    return;
  }
  this->served_order.push_back(fingerprint);
  if (this->served_order.size() > kMaxFingerprints) {
    this->served.erase(this->served_order.front());
    this->served_order.pop_front();
  }
}

void CrashFingerprintRegistry::Merge(TimePoint now, const std::vector<FingerprintRecord>& records) {
  for (const FingerprintRecord& record : records) {
    this->Add(now, record);
  }
}

void CrashFingerprintRegistry::Tick(TimePoint now) {
  std::erase_if(this->entries, [now](const auto& entry) { return now >= entry.second.expires_at; });
}

bool CrashFingerprintRegistry::IsSuspect(Fingerprint fingerprint) const {
  return this->entries.contains(fingerprint);
}

bool CrashFingerprintRegistry::IsBlocked(Fingerprint fingerprint) const {
  const auto entry = this->entries.find(fingerprint);
  return entry != this->entries.end() &&
         entry->second.DistinctCrashes().size() >= kBlockingCrashCount;
}

std::vector<FingerprintRecord> CrashFingerprintRegistry::Records(TimePoint now,
                                                                 std::size_t limit) const {
  std::vector<FingerprintRecord> records;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (now < entry.expires_at) {
      records.push_back(
          {fingerprint, entry.service, entry.DistinctCrashes(), entry.expires_at - now});
    }
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const FingerprintRecord& left, const FingerprintRecord& right) {
                     return left.remaining > right.remaining;
                   });
  records.resize(std::min(records.size(), limit));
  return records;
}

std::vector<AttemptId> CrashFingerprintRegistry::Entry::DistinctCrashes() const {
  std::vector<AttemptId> distinct;
  for (const auto& [id, crash] : this->crashes) {
    if (!crash.is_duplicate) {
      distinct.push_back(id);
    }
  }
  return distinct;
}

void CrashFingerprintRegistry::Add(TimePoint now, const FingerprintRecord& record) {
  const Duration remaining = std::min(record.remaining, kRetention);
  if (record.kills.empty() || remaining <= Duration{} ||
      this->served.contains(record.fingerprint)) {
    return;
  }
  if (!this->entries.contains(record.fingerprint) && this->entries.size() >= kMaxFingerprints) {
    this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                                         [](const auto& left, const auto& right) {
                                           return left.second.expires_at < right.second.expires_at;
                                         }));
  }
  Entry& entry = this->entries[record.fingerprint];
  entry.service = record.service;
  entry.expires_at = std::max(entry.expires_at, now + remaining);
  // The sender has already separated the crashes within one record, so only compare
  // with those known before.
  const std::map<AttemptId, Crash> known = entry.crashes;
  for (const AttemptId id : record.kills) {
    const bool is_duplicate = std::any_of(known.begin(), known.end(), [now, id](const auto& other) {
      return SameTarget(other.first, id) && now - other.second.recorded_at <= kSameCrashPeriod;
    });
    entry.crashes.try_emplace(id, Crash{now, is_duplicate});
  }
}

}  // namespace pimentopin

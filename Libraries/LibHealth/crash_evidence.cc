#include "Libraries/LibHealth/crash_evidence.h"

namespace pimentopin {
namespace {

// Reports of the requests in flight at one death arrive within a link delay and
// the hosts' timers.
constexpr Duration kDeathPeriod = std::chrono::milliseconds(500);
// A response this early may have been on its way when the target died.
constexpr Duration kShortestDeath = std::chrono::milliseconds(50);
constexpr Duration kRetention = std::chrono::minutes(10);

}  // namespace

CrashEvidence::Assessment CrashEvidence::RecordLoss(TimePoint now,
                                                    TargetId target,
                                                    Fingerprint fingerprint) {
  Assessment assessment;
  const auto previous = this->deaths.find(target);
  if (previous == this->deaths.end() || previous->second.ended ||
      now - previous->second.started > kDeathPeriod) {
    this->deaths[target] = Death{now, false, false, false, {}};
  }
  Death& death = this->deaths[target];
  if (fingerprint != Fingerprint{}) {
    death.fingerprints.insert(fingerprint);
    Victims& known = this->victims[fingerprint];
    known.targets.insert(target);
    known.last_loss = now;
    if (known.targets.size() > 1) {
      assessment.exonerated = this->Explain(fingerprint);
      return assessment;
    }
  }
  assessment.counts = !death.counted && !death.explained;
  death.counted = death.counted || assessment.counts;
  return assessment;
}

std::vector<TargetId> CrashEvidence::Explain(Fingerprint fingerprint) {
  std::vector<TargetId> exonerated;
  for (auto& [target, death] : this->deaths) {
    if (!death.fingerprints.contains(fingerprint)) {
      continue;
    }
    death.explained = true;
    if (death.counted) {
      death.counted = false;
      exonerated.push_back(target);
    }
  }
  return exonerated;
}

void CrashEvidence::RecordContact(TimePoint now, TargetId target) {
  const auto death = this->deaths.find(target);
  if (death != this->deaths.end() && now - death->second.started > kShortestDeath) {
    death->second.ended = true;
  }
}

void CrashEvidence::Tick(TimePoint now) {
  std::erase_if(this->victims,
                [now](const auto& entry) { return now - entry.second.last_loss > kRetention; });
  std::erase_if(this->deaths,
                [now](const auto& entry) { return now - entry.second.started > kRetention; });
}

}  // namespace pimentopin

#include "Libraries/LibHealth/crash_attribution.h"

namespace pimentopin {
namespace {

// Reports of the requests that were in flight at one crash differ in arrival by a
// network delay and the timers of the hosts.
constexpr Duration kCrashReportPeriod = std::chrono::milliseconds(500);
// A response this soon after the crash may have been in transit when the target
// crashed.
constexpr Duration kLateResponsePeriod = std::chrono::milliseconds(50);
constexpr Duration kRetention = std::chrono::minutes(10);

}  // namespace

CrashAttribution::Assessment CrashAttribution::RecordLostConnection(TimePoint now,
                                                                    TargetId target,
                                                                    Fingerprint fingerprint) {
  Assessment assessment;
  const auto previous = this->crashes.find(target);
  if (previous == this->crashes.end() || previous->second.ended ||
      now - previous->second.started_at > kCrashReportPeriod) {
    this->crashes[target] = Crash{now, false, false, false, {}};
  }
  Crash& crash = this->crashes[target];
  if (fingerprint != Fingerprint{}) {
    crash.fingerprints.insert(fingerprint);
    AffectedTargets& affected = this->affected_targets[fingerprint];
    affected.targets.insert(target);
    affected.last_lost_connection = now;
    if (affected.targets.size() > 1) {
      assessment.cleared_targets = this->AttributeToRequest(fingerprint);
      return assessment;
    }
  }
  assessment.counts_against_target = !crash.counted && !crash.caused_by_request;
  crash.counted = crash.counted || assessment.counts_against_target;
  return assessment;
}

std::vector<TargetId> CrashAttribution::AttributeToRequest(Fingerprint fingerprint) {
  std::vector<TargetId> cleared_targets;
  for (auto& [target, crash] : this->crashes) {
    if (!crash.fingerprints.contains(fingerprint)) {
      continue;
    }
    crash.caused_by_request = true;
    if (crash.counted) {
      crash.counted = false;
      cleared_targets.push_back(target);
    }
  }
  return cleared_targets;
}

void CrashAttribution::RecordResponse(TimePoint now, TargetId target) {
  const auto crash = this->crashes.find(target);
  if (crash != this->crashes.end() && now - crash->second.started_at > kLateResponsePeriod) {
    crash->second.ended = true;
  }
}

void CrashAttribution::Tick(TimePoint now) {
  std::erase_if(this->affected_targets, [now](const auto& entry) {
    return now - entry.second.last_lost_connection > kRetention;
  });
  std::erase_if(this->crashes,
                [now](const auto& entry) { return now - entry.second.started_at > kRetention; });
}

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/work_estimate.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// An attempt that holds a slot as far as the broker knows.
struct SlotHolder {
  HostId host{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  // Time at which the broker learned of the attempt.
  TimePoint held_since;
  // See HealthObservation.
  double queue_factor = 1.0;
  // The target was ejected when the slot was granted.
  bool is_trial = false;
  // Already reported by TakeOverdueTargets().
  bool overdue = false;
  WorkTraits work;
  // Expected at the start: the wait for a slot of the target by known attempts and by the target's
  // own statement, the run, and the factor by which this target prolongs it. Zero if unknown.
  Duration expected_wait{};
  Duration stated_wait{};
  Duration expected_run{};
  double slowness = 1.0;

  friend bool operator==(const SlotHolder&, const SlotHolder&) = default;
};

// Outstanding attempts of a service per host and target. The hosts' reports
// correct the effects of lost and duplicated messages.
class SlotTable {
 public:
  // An attempt missing from its host's report is freed only if it is older than
  // this, because its grant or claim may have crossed the report.
  static constexpr Duration kReportGracePeriod = std::chrono::seconds(1);
  // All slots of a host are freed after this time without a report.
  static constexpr Duration kReportTimeout = std::chrono::seconds(2);
  // Minimum number of overdue attempts at a target that count as a failure. A
  // single slow attempt is normal if service times vary; counting it withheld work
  // from healthy targets in saturation, and 5 of 314 long requests starved.
  static constexpr std::size_t kMinOverdueAttempts = 2;

  SlotTable() = default;
  // The lists of holders refer to the attempts.
  SlotTable(const SlotTable&) = delete;
  SlotTable(SlotTable&&) = default;

  // Returns false and changes nothing if the attempt is known or was freed
  // within kReportTimeout.
  bool Add(TimePoint now, AttemptId attempt, SlotHolder holder);
  // Returns whether the attempt held a slot. An unknown attempt is recorded as
  // ended, because its claim may arrive later.
  bool Free(TimePoint now, AttemptId attempt);
  void FreeHost(TimePoint now, HostId host);
  void Reconcile(TimePoint now, HostId host, const std::vector<OutstandingAttempt>& outstanding);
  // Frees the slots of hosts without a report for kReportTimeout. Returns
  // whether any slot was freed.
  bool Expire(TimePoint now);
  // Excludes a pause of this process from all timeouts.
  void ExtendTimeouts(Duration pause);

  // Returns the targets of attempts that have lasted longer than the limit of
  // their class, except attempts that waited in the target's queue. Only
  // targets with at least kMinOverdueAttempts such attempts count. Each attempt
  // is reported once.
  std::vector<TargetId> TakeOverdueTargets(TimePoint now,
                                           Duration short_limit,
                                           Duration long_limit);

  const SlotHolder* Find(AttemptId attempt) const;
  // Whether the attempt was freed within kReportTimeout.
  bool HasEndedRecently(AttemptId attempt) const { return this->recently_ended.contains(attempt); }
  std::uint32_t CountAt(TargetId target) const;
  std::uint32_t LongCountAt(TargetId target) const;
  // Attempts at the target, in the order in which the broker learned of them.
  const std::vector<const SlotHolder*>& HoldersAt(TargetId target) const;
  std::uint32_t long_count() const { return this->long_total; }
  std::size_t size() const { return this->holders.size(); }

 private:
  struct Count {
    std::uint32_t total = 0;
    std::uint32_t long_work = 0;
    std::vector<const SlotHolder*> holders;
  };

  void Erase(TimePoint now, std::map<AttemptId, SlotHolder>::iterator position);

  std::map<AttemptId, SlotHolder> holders;
  std::map<HostId, std::set<AttemptId>> by_host;
  std::map<HostId, TimePoint> reported_at;
  std::map<TargetId, Count> counts;
  std::map<AttemptId, TimePoint> recently_ended;
  std::uint32_t long_total = 0;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// An attempt that holds a slot as far as the broker knows.
struct SlotHolder {
  HostId host{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  // When the broker learned of the attempt.
  TimePoint since;
  // See HealthObservation.
  double queue_factor = 1.0;
  // Reported by TakeOverdue.
  bool overdue = false;

  friend bool operator==(const SlotHolder&, const SlotHolder&) = default;
};

// Outstanding attempts of a service per host and target. Lost and duplicated
// messages are corrected by the hosts' reports.
class SlotTable {
 public:
  // An attempt missing from its host's report is freed once it is older; the
  // grant or claim may have crossed the report.
  static constexpr Duration kReportGrace = std::chrono::seconds(1);
  // All slots of a host are freed when its reports stop for this long.
  static constexpr Duration kReportTimeout = std::chrono::seconds(2);
  // One slow attempt is usual where service times vary. Taken as evidence, it
  // kept work from good targets in saturation (5 of 314 long requests starved).
  static constexpr std::size_t kOverdueTogether = 2;

  // Ignored if the attempt is known or has been freed within kReportTimeout.
  bool Add(TimePoint now, AttemptId attempt, SlotHolder holder);
  // Also remembers an unknown attempt as ended, as its claim may arrive later.
  bool Free(TimePoint now, AttemptId attempt);
  void FreeHost(TimePoint now, HostId host);
  void Reconcile(TimePoint now, HostId host, const std::vector<OutstandingAttempt>& outstanding);
  // Frees what belongs to hosts whose reports stopped. Returns true on change.
  bool Expire(TimePoint now);
  // Excludes a pause of the own process from all time-outs.
  void ExtendTimeouts(Duration pause);

  // Targets of the attempts that have lasted longer than the limit of their
  // class without having joined a queue, where several have at a time; each
  // attempt is reported once.
  std::vector<TargetId> TakeOverdue(TimePoint now, Duration short_limit, Duration long_limit);

  const SlotHolder* Find(AttemptId attempt) const;
  // True if the attempt was freed within kReportTimeout.
  bool HasEnded(AttemptId attempt) const { return this->ended.contains(attempt); }
  std::uint32_t CountAt(TargetId target) const;
  std::uint32_t LongCountAt(TargetId target) const;
  std::uint32_t long_count() const { return this->long_total; }
  std::size_t size() const { return this->holders.size(); }

 private:
  struct Count {
    std::uint32_t all = 0;
    std::uint32_t long_work = 0;
  };

  void Erase(TimePoint now, std::map<AttemptId, SlotHolder>::iterator position);

  std::map<AttemptId, SlotHolder> holders;
  std::map<HostId, std::set<AttemptId>> by_host;
  std::map<HostId, TimePoint> reported_at;
  std::map<TargetId, Count> counts;
  std::map<AttemptId, TimePoint> ended;
  std::uint32_t long_total = 0;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// A request that waits for a slot.
struct QueueEntry {
  SlotRequest request;
  HostId host{};
  DomainId domain{};
  TimePoint arrived;
  TimePoint deadline;

  friend bool operator==(const QueueEntry&, const QueueEntry&) = default;
};

// Start-time fair queue over organisations with equal weights, kept separately
// for each work class. Within an organisation the order is that of arrival.
class FairQueue {
 public:
  // Returns false if the attempt is queued already.
  bool Push(QueueEntry entry);
  // Removes an entry that is served and charges its organisation.
  std::optional<QueueEntry> Take(AttemptId attempt);
  // Removes an entry without service.
  std::optional<QueueEntry> Remove(AttemptId attempt);
  bool Contains(AttemptId attempt) const;

  std::size_t size() const { return this->classes.size(); }
  std::size_t SizeOf(WorkClass work_class) const;
  // Entries in service order. Pointers are valid until the next change.
  std::vector<const QueueEntry*> Ordered(WorkClass work_class) const;
  std::vector<const QueueEntry*> All() const;
  // Entries that would be served before a new request of the organisation.
  std::size_t AheadOf(WorkClass work_class, OrganisationId organisation) const;
  // Newest entry of the organisation with the most entries in the class, if
  // that is at least two more than `organisation` has.
  std::optional<AttemptId> VictimFor(WorkClass work_class, OrganisationId organisation) const;

 private:
  struct Flow {
    std::deque<QueueEntry> entries;
    // Start tag of the first entry, or finish tag of the last served one.
    double tag = 0;
  };
  struct ClassQueue {
    std::map<OrganisationId, Flow> flows;
    double virtual_time = 0;
  };

  std::optional<QueueEntry> Extract(AttemptId attempt, bool served);
  static void DropIdleFlows(ClassQueue& queue);
  const ClassQueue& QueueOf(WorkClass work_class) const;
  ClassQueue& QueueOf(WorkClass work_class);

  ClassQueue short_work;
  ClassQueue long_work;
  std::map<AttemptId, std::pair<WorkClass, OrganisationId>> classes;
};

}  // namespace pimentopin

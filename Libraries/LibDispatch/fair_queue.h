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

// Start-time fair queueing over organisations with equal weights, separately
// for each work class. Requests of one organisation are served in order of
// arrival.
class FairQueue {
 public:
  // Returns false if the attempt is already queued.
  bool Push(QueueEntry entry);
  // Removes an entry to serve it and advances its organisation's start tag.
  // Returns an empty result if the attempt is not queued.
  std::optional<QueueEntry> Dequeue(AttemptId attempt);
  // Removes an entry without serving it. Returns an empty result if the attempt
  // is not queued.
  std::optional<QueueEntry> Remove(AttemptId attempt);
  bool Contains(AttemptId attempt) const;

  std::size_t size() const { return this->entry_index.size(); }
  std::size_t SizeOf(WorkClass work_class) const;
  // The pointers are valid until the queue changes.
  std::vector<const QueueEntry*> InServiceOrder(WorkClass work_class) const;
  std::vector<const QueueEntry*> All() const;
  // Number of entries that would be served before a new request of the
  // organisation.
  std::size_t CountAhead(WorkClass work_class, OrganisationId organisation) const;
  // Newest entry of the organisation with the most entries in the class. Empty
  // unless it has at least two entries more than `organisation`.
  std::optional<AttemptId> EvictionCandidate(WorkClass work_class,
                                             OrganisationId organisation) const;

 private:
  struct Flow {
    std::deque<QueueEntry> entries;
    // Start tag of the first entry, or finish tag of the last served one if the
    // flow is empty.
    double start_tag = 0;
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
  std::map<AttemptId, std::pair<WorkClass, OrganisationId>> entry_index;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/admission.h"
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

// Serves the most urgent priority first, and within a priority by start-time fair queueing over
// organisations with equal weights, separately for each work class. A less urgent priority that
// waits gets a minimum share of the served requests. Requests of one organisation and priority are
// served in order of arrival.
class FairQueue {
 public:
  // Returns the minimum share of a priority, between 0 and 1.
  using MinimumShare = std::function<double(std::uint32_t priority)>;

  // Without `share`, less urgent priorities are served only while no other waits.
  explicit FairQueue(MinimumShare share = {}) : minimum_share(std::move(share)) {}

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
  // Calls `visit` for each entry in service order until it returns true. Returns whether it did.
  bool VisitInServiceOrder(WorkClass work_class,
                           const std::function<bool(const QueueEntry&)>& visit) const;
  // Number of entries of the same priority that would be served before a new request of the
  // organisation.
  std::size_t CountAhead(WorkClass work_class,
                         OrganisationId organisation,
                         std::uint32_t priority = 0) const;
  QueuePosition PositionOf(WorkClass work_class,
                           OrganisationId organisation,
                           std::uint32_t priority) const;
  // The entry that gives way to a new request of the organisation if the queue is full: of the
  // least urgent priority beyond its minimum share of the entries, or of the same priority and an
  // organisation with at least two entries more, or of any priority if that of the request is
  // below its minimum share. The newest entry of the organisation with the most. Empty if there is
  // none.
  std::optional<AttemptId> EvictionCandidate(WorkClass work_class,
                                             OrganisationId organisation,
                                             std::uint32_t priority = 0) const;

 private:
  struct Flow {
    std::deque<QueueEntry> entries;
    // Start tag of the first entry, or finish tag of the last served one if the
    // flow is empty.
    double start_tag = 0;
  };
  // The entries of one priority.
  struct Level {
    std::map<OrganisationId, Flow> flows;
    double virtual_time = 0;
    // Requests that are due by the minimum share. With one or more, the level goes first.
    double credit = 0;

    std::size_t size() const;
    const Flow* LargestFlow() const;
  };
  using ClassQueue = std::map<std::uint32_t, Level>;

  std::optional<QueueEntry> Extract(AttemptId attempt, bool served);
  double MinimumShareOf(std::uint32_t priority) const;
  // Gives the waiting levels their share of one served request.
  void AddCredit(ClassQueue& queue, std::uint32_t served_priority) const;
  // Visits the entries of one level after the first `skipped` ones.
  static bool VisitLevel(const Level& level,
                         std::size_t skipped,
                         std::size_t limit,
                         const std::function<bool(const QueueEntry&)>& visit);
  const ClassQueue& QueueOf(WorkClass work_class) const;
  ClassQueue& QueueOf(WorkClass work_class);

  MinimumShare minimum_share;
  ClassQueue short_work;
  ClassQueue long_work;
  std::map<AttemptId, std::tuple<WorkClass, std::uint32_t, OrganisationId>> entry_index;
};

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_policy.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/long_work_share.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/service_time_estimate.h"
#include "Libraries/LibDispatch/slot_table.h"
#include "Libraries/LibDispatch/target_ranking.h"
#include "Libraries/LibHealth/service_health.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

struct BrokerTarget {
  TargetId target{};
  DomainId domain{};
  std::uint32_t slots = 1;
  bool leaving = false;

  friend bool operator==(const BrokerTarget&, const BrokerTarget&) = default;
};

struct BrokerConfiguration {
  ServiceId service{};
  std::uint32_t floor_slots = 0;
  std::uint32_t queue_limit = 0;
  std::vector<BrokerTarget> targets;

  friend bool operator==(const BrokerConfiguration&, const BrokerConfiguration&) = default;
};

// Shares the slots of one service between all hosts: queue, fairness between
// organisations, adaptive share of long work, fleet-wide retry budget, target
// health. Its state is soft; a new broker rebuilds it from host reports.
class SlotBroker {
 public:
  explicit SlotBroker(BrokerConfiguration initial, BrokerPolicy broker_policy = {});

  std::vector<SendToHost> Configure(TimePoint now, BrokerConfiguration changed);
  std::vector<SendToHost> OnRequest(TimePoint now,
                                    HostId sender,
                                    DomainId sender_domain,
                                    const SlotRequest& request,
                                    bool fingerprint_blocked);
  std::vector<SendToHost> OnCancel(TimePoint now, HostId sender, const SlotCancel& cancel);
  std::vector<SendToHost> OnClaim(TimePoint now,
                                  HostId sender,
                                  DomainId sender_domain,
                                  const SlotClaim& claim);
  std::vector<SendToHost> OnRelease(TimePoint now,
                                    HostId sender,
                                    DomainId sender_domain,
                                    const SlotRelease& release);
  std::vector<SendToHost> OnReport(TimePoint now,
                                   HostId sender,
                                   DomainId sender_domain,
                                   const HostReport& report);
  // A probe's outcome, seen by any host.
  void OnProbe(TimePoint now, const HealthObservation& evidence);
  // Frees the slots and queue entries of a host that is dead.
  std::vector<SendToHost> OnHostDead(TimePoint now, HostId host);
  // Carries out what is due: expires queue entries, pushes views.
  std::vector<SendToHost> Tick(TimePoint now);
  // When Tick has to be called next; TimePoint::max() if nothing is in progress.
  TimePoint NextDeadline(TimePoint now);

  std::vector<HealthEvent> TakeHealthEvents();
  ServiceView View() const;

  std::size_t queued() const { return this->queue.size(); }
  // Attempts that hold a slot as far as the broker knows.
  std::size_t outstanding() const { return this->table.size(); }
  std::uint32_t long_outstanding() const { return this->table.long_count(); }
  std::uint32_t LongLimit() const;

 private:
  struct HostUse {
    DomainId domain{};
    TimePoint used_at;
    TimePoint view_sent_at;
    bool view_owed = false;
    // Requests and claims, each weighing less by its age.
    double recent_requests = 0;
  };
  // A target with its verdict, limited by the configuration.
  struct Candidate {
    TargetId target{};
    DomainId domain{};
    std::uint32_t slots = 0;
    HealthStatus verdict;
  };
  using Messages = std::vector<SendToHost>;

  void ConfigureHealth(TimePoint now);
  // Takes over the verdicts of the health component.
  void RefreshCandidates();
  HostUse& TouchHost(TimePoint now, HostId host, std::optional<DomainId> domain);
  static double RecentRequests(TimePoint now, const HostUse& use);
  // True if the host uses the service often enough to be sent views.
  bool ReceivesViews(TimePoint now, const HostUse& use) const;
  // Takes attempts that last much longer than usual for evidence of a target
  // that hangs, long before their deadlines tell.
  void ObserveOverdue(TimePoint now);
  double CostOf(TimePoint now, const QueueEntry& entry, const Candidate& candidate);
  // The view with the targets that this one host cannot reach marked as
  // unreachable from its domain.
  ServiceView ViewFor(HostId host, const HostUse& use, ServiceView view) const;
  std::uint32_t UsableSlots() const;
  bool IsUsableFor(const Candidate& candidate, const QueueEntry& entry) const;
  // Targets that may run the request, whether they have a free slot or not.
  std::vector<const Candidate*> CandidatesFor(const QueueEntry& entry) const;
  bool HasRoom(const Candidate& candidate, WorkClass work_class) const;
  bool HasRoomAhead(const Candidate& candidate, WorkClass work_class) const;
  std::optional<TargetId> ChooseTarget(TimePoint now, const QueueEntry& entry);
  std::optional<TargetId> ChooseAhead(const QueueEntry& entry,
                                      const std::vector<const Candidate*>& candidates) const;
  bool CanStartAtOnce(TimePoint now, const QueueEntry& entry);
  bool QueueIsFull(WorkClass work_class) const;
  Duration PredictedWait(const SlotRequest& request) const;
  bool BudgetTooShort(const SlotRequest& request, Duration wait, Duration budget) const;
  // Returns the refusal, or nothing if the request may enter the queue.
  std::optional<SlotRefusal> Admit(TimePoint now, const QueueEntry& entry, Messages& messages);
  SlotRefusal Refusal(const SlotRequest& request, RefusalReason reason) const;
  void Grant(TimePoint now, const QueueEntry& entry, TargetId target, Messages& messages);
  void Dispatch(TimePoint now, Messages& messages);
  bool GrantNext(TimePoint now, WorkClass work_class, Messages& messages);
  bool LongGoesFirst(TimePoint now) const;
  // Expected effect of the target's own queue on an attempt that joins it now.
  double QueueFactor(TargetId target, WorkClass work_class) const;
  void RefuseExpired(TimePoint now, Messages& messages);
  void PushViews(TimePoint now, Messages& messages);
  void AcknowledgeQueued(TimePoint now, HostId host, Messages& messages);
  // A sign of life, with the state of the targets if the host receives views.
  SendToHost ViewMessage(TimePoint now, HostId host, const HostUse& use, ServiceView view) const;
  std::uint64_t NextSequence(TimePoint now);

  BrokerConfiguration configuration;
  BrokerPolicy policy;
  ServiceHealth health;
  TargetRanking ranking;
  TimePoint overdue_checked_at;
  SlotTable table;
  FairQueue queue;
  RetryBudget retries;
  ServiceTimeEstimate estimate;
  LongWorkShare long_share;
  std::vector<Candidate> candidates;
  std::map<HostId, HostUse> hosts;
  // Targets that announced in an answer that they are draining.
  std::set<TargetId> draining;
  std::uint64_t sequence = 0;
  // Last view that was pushed, without its sequence, to detect a change.
  ServiceView pushed;
  TimePoint pushed_at;
  // When the last call of Tick took place, or when the next one is due.
  std::optional<TimePoint> expected_tick;
};

}  // namespace pimentopin

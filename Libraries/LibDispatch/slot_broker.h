#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/admission.h"
#include "Libraries/LibDispatch/broker_policy.h"
#include "Libraries/LibDispatch/ejection_trials.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/long_work_share.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/service_time_estimate.h"
#include "Libraries/LibDispatch/slot_table.h"
#include "Libraries/LibDispatch/target_ranking.h"
#include "Libraries/LibDispatch/target_rate_limits.h"
#include "Libraries/LibDispatch/target_work.h"
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
  // Response times after which a response is of less value, for the kinds that state one.
  std::map<RequestKind, Duration> objectives;

  friend bool operator==(const BrokerConfiguration&, const BrokerConfiguration&) = default;
};

// Allocates the slots of one service to the hosts. Implements queueing,
// fairness between organisations, the adaptive share of long work, the
// fleet-wide retry budget and target health. Its state is soft: a new broker
// rebuilds it from the hosts' reports, and
// RetryUsageExchange passes the retry budget on.
class SlotBroker {
 public:
  // Uses a retry budget of its own if there is no shared one.
  explicit SlotBroker(BrokerConfiguration initial,
                      BrokerPolicy broker_policy = {},
                      std::shared_ptr<RetryBudget> shared_retries = nullptr);
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

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
  // Records the result of a probe by any host.
  void OnProbe(TimePoint now, const HealthObservation& observation);
  // Frees the slots and queue entries of an unreachable host.
  std::vector<SendToHost> OnHostUnreachable(TimePoint now, HostId host);
  // Refuses expired queue entries, grants free slots and pushes views.
  std::vector<SendToHost> Tick(TimePoint now);
  // Time at which Tick() must be called next; TimePoint::max() if nothing is in
  // progress.
  TimePoint NextDeadline(TimePoint now);

  std::vector<HealthEvent> TakeHealthEvents();
  // Empty if the placement is kLoad.
  std::vector<SpeedChange> TakeSpeedChanges(TimePoint now);
  ServiceView View() const;

  std::size_t queued() const { return this->queue.size(); }
  // Number of attempts that hold a slot as far as the broker knows.
  std::size_t outstanding() const { return this->table.size(); }
  std::uint32_t long_outstanding() const { return this->table.long_count(); }
  std::uint32_t LongSlotLimit() const;

 private:
  struct HostActivity {
    DomainId domain{};
    TimePoint last_active_at;
    TimePoint view_sent_at;
    // Time of the last view with targets.
    TimePoint targets_sent_at;
    bool view_pending = false;
    // Number of requests and claims, with exponential decay by age.
    double recent_requests = 0;
  };
  // A target with its health status, limited by the configuration.
  struct Candidate {
    TargetId target{};
    DomainId domain{};
    std::uint32_t slots = 0;
    HealthStatus health_status;
  };
  using Messages = std::vector<SendToHost>;

  void ConfigureHealth(TimePoint now);
  Candidate MakeCandidate(const BrokerTarget& target) const;
  // Updates the candidates from the health statuses.
  void RefreshCandidates();
  // Updates one candidate; the states of the others have not changed.
  void RefreshCandidate(TargetId target);
  // Null if the target is not configured.
  const Candidate* FindCandidate(TargetId target) const;
  HostActivity& RecordActivity(TimePoint now, HostId host, std::optional<DomainId> domain);
  static double RecentRequests(TimePoint now, const HostActivity& activity);
  // Whether the host uses the service often enough to receive views.
  bool ReceivesViews(TimePoint now, const HostActivity& activity) const;
  // Whether this process was paused and Tick() has not been called since.
  bool HasPaused(TimePoint now) const;
  // Records attempts that last much longer than usual as failures of the target,
  // which may hang, long before their deadlines expire.
  void ObserveOverdue(TimePoint now);
  double CostOf(TimePoint now, const QueueEntry& entry, const Candidate& candidate);
  // Delay at the candidate as the placement counts it; empty if the load counts.
  std::optional<double> DelayOf(TimePoint now,
                                const Candidate& candidate,
                                const WorkTraits& traits);
  // Learns from the end of an attempt that held a slot until now.
  void RecordWork(TimePoint now, const SlotHolder& holder, const SlotRelease& release);
  // Expected completion of a request of these traits that is sent to the candidate now.
  ExpectedCompletion Expect(TimePoint now, const Candidate& candidate, const WorkTraits& traits);
  // Fills in what is expected of an attempt that starts now.
  void SetExpectation(TimePoint now, SlotHolder& holder);
  // Expected time that the request takes at a target.
  Duration ExpectedWork(const SlotRequest& request) const;
  // Shows slow targets as busy, so that no host starts work there without asking.
  ServiceView ViewForHosts(TimePoint now) const;
  // Returns the view with the targets that this host cannot reach marked as
  // unreachable from its failure domain.
  ServiceView ViewForHost(HostId host, const HostActivity& activity, ServiceView view) const;
  std::uint32_t UsableSlots() const;
  // Usable slots of the targets that do not limit the rate of their requests.
  std::uint32_t UnlimitedSlots() const;
  // Requests per second that the targets accept if all usable ones limit their rate, else zero.
  double TotalRateLimit() const;
  // Whether the request may go to the target, apart from the target's state.
  bool IsAllowedFor(const Candidate& candidate, const QueueEntry& entry) const;
  bool IsUsableFor(const Candidate& candidate, const QueueEntry& entry) const;
  // Targets that may run the request, with or without a free slot.
  std::vector<const Candidate*> CandidatesFor(const QueueEntry& entry) const;
  bool HasFreeSlot(TimePoint now, const Candidate& candidate, WorkClass work_class) const;
  bool HasOvercommitRoom(TimePoint now, const Candidate& candidate, WorkClass work_class);
  std::optional<TargetId> ChooseTarget(TimePoint now, const QueueEntry& entry);
  // The idle ejected target that the request should test; std::nullopt if it should test none.
  std::optional<TargetId> ChooseTrial(TimePoint now, const QueueEntry& entry);
  std::optional<TargetId> ChooseOvercommitted(TimePoint now,
                                              const QueueEntry& entry,
                                              const std::vector<const Candidate*>& candidates);
  // A target that is expected to complete the request clearly before `best`, although the request
  // must wait there for a slot.
  std::optional<TargetId> ChooseSooner(TimePoint now,
                                       const QueueEntry& entry,
                                       const std::vector<const Candidate*>& usable,
                                       const Candidate& best);
  bool CanGrantImmediately(TimePoint now, const QueueEntry& entry);
  std::uint32_t QueueLimit() const;
  bool QueueIsFull(WorkClass work_class) const;
  // Slots that serve the class while requests of it wait.
  std::uint32_t SlotsFor(WorkClass work_class) const;
  Duration PredictedWait(const SlotRequest& request) const;
  // Requests of the class that the service completes in a second; zero if unknown.
  double CapacityPerSecond(WorkClass work_class) const;
  AdmissionCase CaseOf(const SlotRequest& request,
                       QueuePosition position,
                       double capacity_per_s,
                       Duration budget) const;
  // The same for a request that has not entered the queue.
  AdmissionCase CaseOf(const SlotRequest& request) const;
  // Whether the request would be served too late if it entered the queue.
  bool IsTooLate(TimePoint now, const SlotRequest& request) const;
  bool BudgetTooShort(const SlotRequest& request, Duration wait, Duration budget) const;
  // Returns the refusal, or an empty result if the request may enter the queue.
  std::optional<SlotRefusal> Admit(TimePoint now, const QueueEntry& entry, Messages& messages);
  SlotRefusal MakeRefusal(TimePoint now, const SlotRequest& request, RefusalReason reason);
  void SendRefusal(TimePoint now, HostId host, const SlotRefusal& refusal, Messages& messages);
  // Refuses a request that waits in the queue.
  void RefuseQueued(TimePoint now, AttemptId attempt, RefusalReason reason, Messages& messages);
  void Grant(TimePoint now, const QueueEntry& entry, TargetId target, Messages& messages);
  void GrantQueued(TimePoint now, Messages& messages);
  bool GrantNext(TimePoint now, WorkClass work_class, Messages& messages);
  bool LongWorkGoesFirst(TimePoint now) const;
  // Factor by which the target's own queue is expected to prolong an attempt
  // that is started now; zero if it cannot be predicted.
  double QueueFactor(TargetId target, WorkClass work_class) const;
  void RefuseExpired(TimePoint now, Messages& messages);
  // Attempts of the class that can no longer be served before their deadlines.
  std::vector<AttemptId> HopelessAttempts(TimePoint now, WorkClass work_class) const;
  void PushViews(TimePoint now, Messages& messages);
  void AcknowledgeQueued(TimePoint now, HostId host, Messages& messages);
  // Whether a view with targets may be sent to the host without exceeding its budget.
  bool MaySendTargets(TimePoint now, const HostActivity& activity) const;
  // Makes a keep-alive message, with the state of the targets if the host
  // receives views and its budget allows.
  // Fills `view` if it is empty and needed.
  SendToHost MakeViewMessage(TimePoint now,
                             HostId host,
                             HostActivity& activity,
                             std::optional<ServiceView>& view);
  // The minimum time between two views with targets to the same host.
  Duration PushInterval() const;
  // A view without targets.
  ServiceView ViewHeader() const;
  std::uint64_t NextSequence(TimePoint now);

  BrokerConfiguration configuration;
  BrokerPolicy policy;
  ServiceHealth health;
  TargetRanking ranking;
  TimePoint overdue_checked_at;
  SlotTable table;
  Admission admission;
  FairQueue queue;
  TimePoint queue_checked_at;
  std::shared_ptr<RetryBudget> retries;
  EjectionTrials trials;
  TargetRateLimits rate_limits;
  ServiceTimeEstimate estimate;
  // Used unless the placement is kLoad.
  TargetWork target_work;
  LongWorkShare long_share;
  std::vector<Candidate> candidates;
  std::map<HostId, HostActivity> hosts;
  // Targets that announced in a response that they are draining.
  std::set<TargetId> draining;
  std::uint64_t sequence = 0;
  // Last view that was pushed, with sequence zero, to detect changes.
  ServiceView last_pushed_view;
  TimePoint pushed_at;
  // Time at which the next call of Tick() is due, as returned by
  // NextDeadline(), or time of the last call. Stays in the past from a pause of this process until
  // the next tick.
  std::optional<TimePoint> expected_tick;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_route.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/request_state.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/view_state.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// The requests of one host from arrival to outcome. Owns the truth about
// "may have been sent"; the broker only advises.
class HostDispatcher {
 public:
  HostDispatcher(DispatchSettings dispatch_settings, RandomSource& random_source);

  void Configure(TimePoint now, std::vector<DispatchService> configured);
  // Hosts that may be brokers (alive, not leaving), the own one included.
  std::vector<DispatchAction> SetMembers(TimePoint now, std::vector<HostId> usable_hosts);

  std::vector<DispatchAction> Begin(TimePoint now, const RequestDescription& request);
  std::vector<DispatchAction> OnGrant(TimePoint now, HostId sender, const SlotGrant& grant);
  std::vector<DispatchAction> OnRefusal(TimePoint now, HostId sender, const SlotRefusal& refusal);
  void OnView(TimePoint now, HostId sender, const ServiceView& view);
  std::vector<DispatchAction> OnHeader(TimePoint now,
                                       AttemptId attempt,
                                       const AttemptHeader& header);
  std::vector<DispatchAction> OnAttemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd& end);
  std::vector<DispatchAction> OnCallerGone(TimePoint now, RequestId request);
  // Call every 10 ms: broker time-outs, deadlines, periodic reports.
  std::vector<DispatchAction> Tick(TimePoint now);

  std::size_t requests_in_progress() const { return this->requests.size(); }

 private:
  // Everything that belongs to one service.
  struct ServiceState {
    DispatchService configuration;
    BrokerRoute route;
    ViewState view;
    // Fair queue of the requests that wait in fallback.
    FairQueue waiting_locally;
    RetryBudget retries;
    std::map<TargetId, std::uint32_t> outstanding;
    std::uint32_t outstanding_total = 0;
    std::uint32_t waiting_at_broker = 0;
    std::optional<HostId> reported_to;
    TimePoint reported_at;
  };
  using Actions = std::vector<DispatchAction>;

  bool IsLeaving(TargetId target) const;
  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsBlocked(Fingerprint fingerprint) const;
  ServiceState* FindService(ServiceId service);
  RequestState* FindRequest(RequestId request);
  RequestState* FindAsking(AttemptId attempt);
  AttemptId NewAttemptId();
  // Targets in service as of the last view, with the floor applied.
  std::vector<TargetView> TargetsInService(const ServiceState& service) const;
  std::vector<TargetId> AllowedTargets(const ServiceState& service,
                                       const RequestDescription& description) const;

  // Decides how the next attempt of the request comes about.
  void Place(TimePoint now, RequestState& state, Actions& actions);
  void PlaceByBaseline(TimePoint now, ServiceState& service, RequestState& state, Actions& actions);
  void PlaceLocally(TimePoint now, ServiceState& service, RequestState& state, Actions& actions);
  std::optional<TargetId> OptimisticTarget(TimePoint now,
                                           HostId broker,
                                           const ServiceState& service,
                                           const RequestState& state);
  // A healthy target with free slots, at random in proportion to them.
  std::optional<TargetId> RandomFree(const std::vector<TargetView>& eligible);
  std::optional<TargetId> FallbackTarget(const ServiceState& service, const RequestState& state);
  std::uint32_t FallbackCap(const ServiceState& service) const;
  // Target with the least outstanding attempts of this host, ties at random.
  std::optional<TargetId> LeastOutstanding(const ServiceState& service,
                                           const std::vector<TargetId>& targets);
  void PumpLocal(TimePoint now, ServiceState& service, Actions& actions);
  void Ask(TimePoint now,
           HostId broker,
           ServiceState& service,
           RequestState& state,
           Actions& actions);
  SlotRequest RequestFor(TimePoint now,
                         const ServiceState& service,
                         const RequestState& state) const;
  // Ends the waiting of a request at a broker or in the local queue.
  void Withdraw(ServiceState& service, RequestState& state, bool tell_broker, Actions& actions);
  void Start(TimePoint now,
             ServiceState& service,
             RequestState& state,
             AttemptId attempt,
             TargetId target,
             std::optional<HostId> broker,
             Actions& actions);
  void Cancel(AttemptId attempt, CancelReason reason, Actions& actions);
  void Release(TimePoint now,
               const AttemptState& attempt,
               AttemptId id,
               const AttemptEnd& end,
               Actions& actions);
  static void ReturnGrant(HostId broker, const SlotGrant& grant, bool draining, Actions& actions);
  bool MayRetry(TimePoint now, const RequestState& state) const;
  // No further attempt: forwards a held answer or ends the request.
  void Refuse(RequestState& state, RefusalReason reason, Duration retry_after, Actions& actions);
  void Forward(RequestState& state, AttemptId attempt, Actions& actions);
  // Erases the request; `state` is invalid afterwards.
  void Finish(RequestState& state,
              Outcome outcome,
              RefusalReason reason,
              Duration retry_after,
              Actions& actions);
  Outcome TruthOf(const RequestState& state) const;
  void OnRequestAttemptEnd(TimePoint now,
                           RequestState& state,
                           AttemptId attempt,
                           const AttemptEnd& end,
                           bool forwarded,
                           Actions& actions);
  void TickRequest(TimePoint now, RequestState& state, Actions& actions);
  void TickWaiting(TimePoint now, RequestState& state, Actions& actions);
  void TickService(TimePoint now, ServiceState& service, Actions& actions);
  void Report(TimePoint now, HostId broker, ServiceState& service, Actions& actions);

  DispatchSettings settings;
  RandomSource& random;
  std::vector<HostId> members;
  std::map<ServiceId, ServiceState> services;
  std::map<RequestId, RequestState> requests;
  std::map<AttemptId, AttemptState> attempts;
  // Attempts that wait for a grant.
  std::map<AttemptId, RequestId> asking;
  std::optional<TimePoint> ticked_at;
};

}  // namespace pimentopin

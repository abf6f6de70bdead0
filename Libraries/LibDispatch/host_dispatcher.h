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
#include "Libraries/LibDispatch/dispatch_service_state.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/request_state.h"
#include "Libraries/LibDispatch/target_chooser.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Manages the requests of one host from arrival to outcome. It is authoritative
// on whether a request may have been sent to a target; brokers only grant or
// refuse slots.
class HostDispatcher {
 public:
  HostDispatcher(DispatchSettings dispatch_settings, RandomSource& random_source);

  void Configure(TimePoint now, std::vector<DispatchService> configured);
  // Sets the hosts that may be brokers: those alive and not leaving, this host
  // included.
  std::vector<DispatchAction> SetMembers(TimePoint now, std::vector<HostId> eligible_hosts);

  // Limits all requests to the remaining lifetime of the host.
  std::vector<DispatchAction> SetHostEnd(TimePoint now, const HostEnd& end);

  // Why no attempt of the request may start at `now`, if its deadline or the limit of the host is
  // reached.
  std::optional<RefusalReason> LimitReached(TimePoint now, const RequestDescription& request) const;

  std::vector<DispatchAction> Begin(TimePoint now, const RequestDescription& request);
  std::vector<DispatchAction> OnGrant(TimePoint now, HostId sender, const SlotGrant& grant);
  std::vector<DispatchAction> OnRefusal(TimePoint now, HostId sender, const SlotRefusal& refusal);
  void OnView(TimePoint now, HostId sender, const ServiceView& view);
  std::vector<DispatchAction> OnHeader(TimePoint now,
                                       AttemptId attempt,
                                       const AttemptHeader& header);
  std::vector<DispatchAction> OnAttemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd& end);
  std::vector<DispatchAction> OnCallerDisconnect(TimePoint now, RequestId request);
  // Handles expired broker timeouts and deadlines and sends periodic reports.
  std::vector<DispatchAction> Tick(TimePoint now);
  // Time at which Tick() must be called next; TimePoint::max() if nothing is in
  // progress.
  TimePoint NextDeadline(TimePoint now);

  std::size_t requests_in_progress() const { return this->requests.size(); }
  // Empty if the request is not in progress.
  std::optional<RequestPhase> PhaseOf(RequestId request) const;

 private:
  using Actions = std::vector<DispatchAction>;

  DispatchServiceState* FindService(ServiceId service);
  void ConfigureService(DispatchService service);
  // Chooses the service, or the cell of a divided one, in which the next attempt is placed. Null if
  // the service is unknown.
  DispatchServiceState* ChoosePlace(TimePoint now, RequestState& state);
  // Whether a cell that is not known to be full may still be asked for the attempt.
  bool HasOtherCell(TimePoint now, const RequestState& state) const;
  bool IsUntriedCell(TimePoint now, const RequestState& state, ServiceId cell) const;
  RequestState* FindRequest(RequestId request);
  RequestState* FindByPendingAttempt(AttemptId attempt);
  AttemptId NewAttemptId();

  // Starts the next attempt, requests a slot for it or ends the request.
  void PlaceNextAttempt(TimePoint now, RequestState& state, Actions& actions);
  void PlaceByBaselinePolicy(TimePoint now,
                             DispatchServiceState& service,
                             RequestState& state,
                             Actions& actions);
  void PlaceInFallback(TimePoint now,
                       DispatchServiceState& service,
                       RequestState& state,
                       Actions& actions);
  // For a request without a usable target: waits for the end of a hold-off, if one ends before the
  // deadline, or ends the request.
  void WaitForHoldOff(TimePoint now, RequestState& state, Actions& actions);
  void StartFromLocalQueue(TimePoint now, DispatchServiceState& service, Actions& actions);
  void RequestSlot(TimePoint now,
                   HostId broker,
                   DispatchServiceState& service,
                   RequestState& state,
                   Actions& actions);
  SlotRequest MakeSlotRequest(TimePoint now,
                              const DispatchServiceState& service,
                              const RequestState& state) const;
  // Removes the request from the local queue, or stops waiting for the broker's
  // grant.
  void StopWaiting(DispatchServiceState& service,
                   RequestState& state,
                   bool notify_broker,
                   Actions& actions);
  void Start(TimePoint now,
             DispatchServiceState& service,
             RequestState& state,
             AttemptId attempt,
             TargetId target,
             std::optional<HostId> broker,
             PlacedBy placed_by,
             Actions& actions);
  void Cancel(AttemptId attempt, CancelReason reason, Actions& actions);
  // The same for an attempt whose end a request waits for.
  void CancelRunning(TimePoint now, AttemptId attempt, CancelReason reason, Actions& actions);
  void SendRelease(TimePoint now,
                   const AttemptState& attempt,
                   AttemptId id,
                   const AttemptEnd& end,
                   Actions& actions);
  void ReturnGrant(HostId broker, const SlotGrant& grant, Actions& actions);
  bool MayRetry(TimePoint now, const RequestState& state) const;
  // Time until which an attempt may start: the deadline, or earlier if the host ends.
  TimePoint StartLimit(const RequestDescription& request) const;
  // Time by which a running attempt must end.
  TimePoint RunLimit(const RequestState& state) const;
  // Time at which a running attempt is cancelled: its limit, or later after a pause of this
  // process.
  TimePoint CancelTime(const RequestState& state, const AttemptState& attempt) const;
  // Time at which a request ends although its cancelled attempt has not.
  TimePoint FinishLimit(const RequestState& state, const AttemptState& attempt) const;
  // For a request without further attempts: forwards its held response, if any,
  // or ends the request.
  void ForwardHeldOrFinish(RequestState& state,
                           RefusalReason reason,
                           Duration retry_after,
                           Actions& actions);
  void Forward(RequestState& state, AttemptId attempt, Actions& actions);
  // Erases the request; `state` becomes invalid.
  void Finish(RequestState& state,
              Outcome outcome,
              RefusalReason reason,
              Duration retry_after,
              Actions& actions);
  Outcome OutcomeWithoutResponse(const RequestState& state) const;
  void OnRequestAttemptEnd(TimePoint now,
                           RequestState& state,
                           AttemptId attempt,
                           const AttemptEnd& end,
                           bool forwarded,
                           Actions& actions);
  void TickRequest(TimePoint now, RequestState& state, Actions& actions);
  void TickRunning(TimePoint now, RequestState& state, Actions& actions);
  TimePoint NextDeadlineOf(const RequestState& state) const;
  void TickWaiting(TimePoint now, RequestState& state, Actions& actions);
  void TickService(TimePoint now, DispatchServiceState& service, Actions& actions);
  void SendReport(TimePoint now, HostId broker, DispatchServiceState& service, Actions& actions);

  DispatchSettings settings;
  RandomSource& random;
  TargetChooser chooser;
  HostEnd host_end;
  std::vector<HostId> members;
  std::map<ServiceId, DispatchServiceState> services;
  std::map<RequestId, RequestState> requests;
  std::map<AttemptId, AttemptState> attempts;
  // Attempts that wait for a grant or in the local queue.
  std::map<AttemptId, RequestId> pending_attempts;
  // Time at which the next call of Tick() is due, as returned by
  // NextDeadline(), or time of the last call. Stays in the past from a pause of this process until
  // the next tick.
  std::optional<TimePoint> expected_tick;
};

}  // namespace pimentopin

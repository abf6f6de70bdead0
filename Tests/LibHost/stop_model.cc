#include "Tests/LibHost/stop_model.h"

#include <algorithm>
#include <csignal>
#include <ostream>
#include <tuple>
#include <utility>
#include <variant>

namespace pimentopin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kSignalSent = TimePoint(seconds(1000));
constexpr ServiceId kService{7};
constexpr HostId kSelf{1};
// Between threads, and between processes.
constexpr Duration kMessageDelay = microseconds(100);
// From an event outside to the answer that follows it, if all threads run.
constexpr Duration kHandling = 5 * kMessageDelay;
constexpr Duration kViewInterval = milliseconds(20);
// Of the rules.
constexpr Duration kRefusalLimit = milliseconds(200);
constexpr Duration kLatestExcused = seconds(3);

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

TargetId TargetOf(std::size_t index) {
  return TargetId{index + 1};
}

}  // namespace

std::string ModelFaultName(ModelFault fault) {
  switch (fault) {
    case ModelFault::kNone:
      return "none";
    case ModelFault::kNoAnswer:
      return "passed on, no answer";
    case ModelFault::kNotPassedOnNoAnswer:
      return "not passed on, no answer";
    case ModelFault::kBrokenOff:
      return "broken off at work";
    case ModelFault::kLateRefusal:
      return "refused late";
    case ModelFault::kRefusedWithoutNeed:
      return "refused without need";
    case ModelFault::kToldNotRun:
      return "told not-run";
    case ModelFault::kAnswerReplaced:
      return "answer replaced";
    case ModelFault::kNoTimeToAnswer:
      return "no time to answer";
    case ModelFault::kWaitedAtTheEnd:
      return "waited at the end";
  }
  return "";
}

std::ostream& operator<<(std::ostream& stream, const ModelOrder& order) {
  for (const ModelPause& pause : order.pauses) {
    stream << (pause.whole_process ? "process" : "control thread") << " pauses from "
           << Seconds(pause.begin) << " to " << Seconds(pause.end) << "; ";
  }
  return stream << "check at " << Seconds(order.check_phase)
                << (order.timers_first ? "; timers" : "; messages") << " first"
                << (order.brokered ? "; brokered" : "") << (order.drained_at ? "; drained" : "")
                << (order.second_signal_at ? "; second signal" : "");
}

std::ostream& operator<<(std::ostream& stream, const ModelRequest& request) {
  stream << (request.idempotent ? "idempotent" : "unsafe") << " request sent at "
         << Seconds(request.sent) << " with " << Seconds(request.budget);
  if (request.slot_free_at != Duration::min()) {
    stream << ", slot at " << Seconds(request.slot_free_at);
  }
  for (const ModelAttempt& attempt : request.attempts) {
    stream << ", result " << static_cast<int>(attempt.result) << " after "
           << Seconds(attempt.queued) << " + " << Seconds(attempt.work) << " + "
           << Seconds(attempt.body);
  }
  return stream;
}

bool StopModel::IsLater::operator()(const Event& left, const Event& right) const {
  return std::tie(left.due, left.kind, left.sequence) >
         std::tie(right.due, right.kind, right.sequence);
}

StopModel::StopModel(ModelOrder model_order, std::vector<ModelRequest> model_requests)
    : order(std::move(model_order)),
      requests(std::move(model_requests)),
      all_courses(this->requests.size()),
      now(kSignalSent - this->order.history) {
  playing = this;
  this->stop_signal.RecordRunning(this->now);
  this->dispatcher = std::make_unique<HostDispatcher>(
      DispatchSettings{
          .self = kSelf,
          .domain = DomainId{1},
          .optimistic_starts = false,
          .retry_limits = {.fraction = 100, .minimum_per_second = 1000},
          .hold_off_end = [this](TimePoint time, TargetId target) -> std::optional<TimePoint> {
            const ModelRequest& request = this->requests.at(RawId(target) - 1);
            if (this->order.brokered || request.slot_free_at == Duration::min()) {
              return std::nullopt;
            }
            const TimePoint end = kSignalSent + request.slot_free_at;
            return end > time ? std::optional(end) : std::nullopt;
          }},
      this->random);
  DispatchService service{.service = kService, .floor_slots = 1};
  for (std::size_t index = 0; index < this->requests.size(); ++index) {
    service.targets.push_back({.target = TargetOf(index), .slots = 1000, .connections = 1000});
  }
  this->dispatcher->Configure(this->now, {service});
  if (this->order.brokered) {
    this->dispatcher->SetMembers(this->now, {HostId{2}});
  }
}

StopModel::~StopModel() {
  // A signal that no one handles would end the process.
  this->HandlePendingSignal();
}

void StopModel::At(TimePoint due, Thread thread, Kind kind, std::function<void()> task) {
  this->events.push({due, kind, this->next_sequence++, thread, std::move(task)});
}

void StopModel::Post(Thread thread, std::function<void()> task) {
  this->At(this->now + kMessageDelay, thread, Kind::kMessage, std::move(task));
}

void StopModel::AtTimer(TimePoint due, std::function<void()> task) {
  this->At(std::max(due, this->now), Thread::kControl,
           this->order.timers_first ? Kind::kFirst : Kind::kLast, std::move(task));
}

TimePoint StopModel::RunsFrom(Thread thread, TimePoint time) const {
  if (thread == Thread::kOutside) {
    return time;
  }
  bool paused = true;
  while (paused) {
    paused = false;
    for (const ModelPause& pause : this->order.pauses) {
      if ((pause.whole_process || thread == Thread::kControl) &&
          time >= kSignalSent + pause.begin && time < kSignalSent + pause.end) {
        time = kSignalSent + pause.end;
        paused = true;
      }
    }
  }
  return time;
}

Duration StopModel::Elapsed() const {
  return this->now - kSignalSent;
}

std::vector<ModelFault> StopModel::Run() {
  const TimePoint killed_at = kSignalSent + this->order.grace;
  const TimePoint first_check =
      kSignalSent - this->order.history + this->order.check_phase % Duration(kCheckInterval);
  this->AtTimer(first_check, [this] { this->CheckRunning(); });
  this->At(kSignalSent, Thread::kOutside, Kind::kSignal, [this] { this->Raise(); });
  if (this->order.second_signal_at) {
    this->At(kSignalSent + *this->order.second_signal_at, Thread::kOutside, Kind::kSignal,
             [this] { this->Raise(); });
  }
  if (this->order.drained_at) {
    this->At(kSignalSent + *this->order.drained_at, Thread::kControl, Kind::kMessage,
             [this] { this->drained_at = this->now; });
  }
  for (std::size_t index = 0; index < this->requests.size(); ++index) {
    this->At(kSignalSent + this->requests[index].sent, Thread::kTraffic, Kind::kMessage,
             [this, index] { this->OnRequest(index); });
  }
  while (!this->events.empty() && this->events.top().due < killed_at) {
    Event event = this->events.top();
    this->events.pop();
    const TimePoint runs_from = this->RunsFrom(event.thread, event.due);
    if (runs_from > event.due) {
      event.due = runs_from;
      this->events.push(std::move(event));
      continue;
    }
    this->now = event.due;
    event.task();
    if (event.kind == Kind::kMessage || event.kind == Kind::kSignal) {
      this->all_steps.push_back(this->Elapsed());
    }
  }
  std::vector<ModelFault> faults;
  for (std::size_t index = 0; index < this->requests.size(); ++index) {
    faults.push_back(this->Judge(index));
  }
  return faults;
}

void StopModel::Raise() {
  std::raise(kStopSignal);
  this->At(this->now, Thread::kControl, Kind::kSignal, [this] {
    this->HandlePendingSignal();
    this->Post(Thread::kControl, [this] { this->OnSignal(); });
  });
}

void StopModel::HandlePendingSignal() {
  const ScopedSignalMask handled_signals(SIG_UNBLOCK, {kStopSignal});
}

std::optional<StopAdmission> StopModel::CurrentStop() const {
  const StopAdmission limits{.grace = this->order.grace, .longest_pause = this->pauses.longest()};
  return limits.BegunBy(this->stop_signal.first(), this->drained_at);
}

void StopModel::CheckRunning() {
  this->stop_signal.RecordRunning(this->now);
  this->pauses.Tick(this->now);
  if (this->host_end != HostEnd{}) {
    this->SetHostEnd(this->CurrentStop()->RenewedLimits(this->host_end));
  }
  this->AtTimer(this->now + kCheckInterval, [this] { this->CheckRunning(); });
}

void StopModel::OnSignal() {
  if (this->host_end == HostEnd{}) {
    this->SetHostEnd(this->CurrentStop()->Limits());
  }
}

void StopModel::SetHostEnd(const HostEnd& end) {
  if (end != this->host_end) {
    this->host_end = end;
    this->Execute(this->dispatcher->SetHostEnd(this->now, end));
    this->Reschedule();
  }
}

void StopModel::OnRequest(std::size_t index) {
  const ModelRequest& request = this->requests[index];
  Course& course = this->all_courses[index];
  course.read = this->Elapsed();
  const RequestDescription description{
      .request = RequestId{index + 1},
      .service = kService,
      .idempotent = request.idempotent,
      .deadline = this->now + request.budget,
      .fingerprint = Fingerprint{index + 1},
      .allowed = {TargetOf(index)},
  };
  const std::optional<StopAdmission> stop = this->CurrentStop();
  if (stop && !stop->Accepts(this->now, description)) {
    course.refused = true;
    course.ended = this->Elapsed();
    return;
  }
  this->Post(Thread::kControl, [this, description] {
    this->Execute(this->dispatcher->Begin(this->now, description));
    this->Reschedule();
  });
}

void StopModel::Reschedule() {
  const TimePoint next = this->dispatcher->NextDeadline(this->now);
  if (next == TimePoint::max() || (this->alarm && *this->alarm <= next)) {
    return;
  }
  this->alarm = next;
  this->AtTimer(next, [this, next] {
    if (this->alarm != next) {
      return;
    }
    this->alarm.reset();
    this->Execute(this->dispatcher->Tick(this->now));
    this->Reschedule();
  });
}

void StopModel::Execute(const std::vector<DispatchAction>& actions) {
  for (const DispatchAction& action : actions) {
    std::visit([this](const auto& concrete) { this->Execute(concrete); }, action);
  }
}

void StopModel::Execute(const SendToHost& action) {
  if (const auto* request = std::get_if<SlotRequest>(&action.message)) {
    this->OnSlotRequest(action.host, *request);
  } else if (const auto* cancel = std::get_if<SlotCancel>(&action.message)) {
    this->waiting_at_broker.erase(cancel->attempt);
  }
}

void StopModel::OnSlotRequest(HostId broker, const SlotRequest& request) {
  if (!this->waiting_at_broker.emplace(request.attempt, broker).second) {
    return;
  }
  const std::size_t index = RawId(request.allowed.empty() ? TargetId{1} : request.allowed[0]) - 1;
  const Duration free_at =
      std::max(this->requests[index].slot_free_at, this->Elapsed() + kMessageDelay);
  this->SendView(broker, request.attempt, free_at);
  this->At(kSignalSent + free_at, Thread::kOutside, Kind::kMessage,
           [this, broker, attempt = request.attempt, index] {
             this->SendGrant(broker, attempt, index);
           });
}

void StopModel::SendView(HostId broker, AttemptId attempt, Duration until) {
  if (this->Elapsed() >= until || !this->waiting_at_broker.contains(attempt)) {
    return;
  }
  this->Post(Thread::kControl, [this, broker] {
    this->dispatcher->OnView(this->now, broker, {.service = kService});
    this->Reschedule();
  });
  this->At(this->now + kViewInterval, Thread::kOutside, Kind::kMessage,
           [this, broker, attempt, until] { this->SendView(broker, attempt, until); });
}

void StopModel::SendGrant(HostId broker, AttemptId attempt, std::size_t index) {
  if (this->waiting_at_broker.erase(attempt) == 0) {
    return;
  }
  this->Post(Thread::kControl, [this, broker, attempt, index] {
    this->Execute(this->dispatcher->OnGrant(
        this->now, broker, {.attempt = attempt, .service = kService, .target = TargetOf(index)}));
    this->Reschedule();
  });
}

void StopModel::Execute(const StartAttempt& action) {
  const std::size_t index = RawId(action.request) - 1;
  std::vector<Course::Attempt>& started = this->all_courses[index].attempts;
  const std::size_t number = started.size();
  started.emplace_back();
  this->attempts[action.attempt] = {index, number};
  this->Post(Thread::kTraffic, [this, attempt = action.attempt, index, number] {
    this->PassOn(attempt, index, number);
  });
}

void StopModel::PassOn(AttemptId attempt, std::size_t index, std::size_t number) {
  Course::Attempt& course = this->all_courses[index].attempts[number];
  if (course.ended) {
    return;
  }
  const std::vector<ModelAttempt>& plans = this->requests[index].attempts;
  const ModelAttempt& plan = plans[std::min(number, plans.size() - 1)];
  course.result = plan.result;
  if (plan.result == AttemptResult::kConnectFailure) {
    this->At(this->now + plan.work, Thread::kTraffic, Kind::kMessage,
             [this, attempt, index, number, result = plan.result] {
               this->EndAttempt(attempt, index, number, result, false);
             });
    return;
  }
  course.passed_on = this->Elapsed();
  const bool is_failure =
      plan.result == AttemptResult::kShed || plan.result == AttemptResult::kServerError;
  // No work is broken off with the rest of a response that states a failure.
  course.target_begin = this->Elapsed() + plan.queued;
  const TimePoint header_at = this->now + plan.queued + plan.work;
  course.target_end = header_at - kSignalSent + (is_failure ? Duration() : plan.body);
  const bool has_header = plan.body > Duration::zero() || is_failure;
  if (has_header) {
    this->At(header_at, Thread::kTraffic, Kind::kMessage,
             [this, attempt, index, number, result = plan.result] {
               if (this->all_courses[index].attempts[number].ended) {
                 return;
               }
               const bool is_shed = result == AttemptResult::kShed;
               const int status = result == AttemptResult::kServerError ? 500 : 200;
               this->Post(Thread::kControl, [this, attempt, is_shed, status] {
                 this->Execute(this->dispatcher->OnHeader(
                     this->now, attempt, {.status = is_shed ? 503 : status, .shed = is_shed}));
                 this->Reschedule();
               });
             });
  }
  this->At(header_at + plan.body, Thread::kTraffic, Kind::kMessage,
           [this, attempt, index, number, result = plan.result] {
             this->EndAttempt(attempt, index, number, result, true);
           });
}

void StopModel::EndAttempt(AttemptId attempt,
                           std::size_t index,
                           std::size_t number,
                           AttemptResult result,
                           bool sent) {
  if (std::exchange(this->all_courses[index].attempts[number].ended, true)) {
    return;
  }
  this->Post(Thread::kControl, [this, attempt, result, sent] {
    this->Execute(this->dispatcher->OnAttemptEnd(this->now, attempt,
                                                 {.result = result, .may_have_been_sent = sent}));
    this->Reschedule();
  });
}

void StopModel::Execute(const CancelAttempt& action) {
  const std::size_t index = this->attempts.at(action.attempt).first;
  const std::size_t number = this->attempts.at(action.attempt).second;
  this->Post(Thread::kTraffic, [this, attempt = action.attempt, index, number] {
    Course::Attempt& course = this->all_courses[index].attempts[number];
    if (!course.ended && course.passed_on && this->Elapsed() < course.target_end) {
      course.broken_off = this->Elapsed();
    }
    this->EndAttempt(attempt, index, number, AttemptResult::kCancelled,
                     course.passed_on.has_value());
  });
}

void StopModel::Execute(const ForwardResponse& /*action*/) {}

void StopModel::Execute(const FinishRequest& action) {
  const std::size_t index = RawId(action.request) - 1;
  this->Post(Thread::kTraffic, [this, index, action] {
    Course& course = this->all_courses[index];
    course.ended = this->Elapsed();
    course.closed = action.abort_connection;
    course.outcome = action.outcome;
    for (Course::Attempt& attempt : course.attempts) {
      // The answer replaces one for which a target still works.
      if (action.outcome != Outcome::kTarget && attempt.passed_on && !attempt.broken_off &&
          !attempt.ended && this->Elapsed() < attempt.target_end) {
        attempt.broken_off = this->Elapsed();
      }
    }
  });
}

Duration StopModel::AfterRunning(Duration from, Duration time) const {
  TimePoint current = this->RunsFrom(Thread::kControl, kSignalSent + from);
  while (true) {
    TimePoint next_pause = TimePoint::max();
    for (const ModelPause& pause : this->order.pauses) {
      if (kSignalSent + pause.begin > current) {
        next_pause = std::min(next_pause, kSignalSent + pause.begin);
      }
    }
    if (next_pause - current >= time) {
      return current + time - kSignalSent;
    }
    time -= next_pause - current;
    current = this->RunsFrom(Thread::kControl, next_pause);
  }
}

Duration StopModel::LastRun() const {
  Duration last_run = this->order.grace;
  bool paused = true;
  while (paused) {
    paused = false;
    for (const ModelPause& pause : this->order.pauses) {
      if (pause.begin < last_run && pause.end >= last_run) {
        last_run = pause.begin;
        paused = true;
      }
    }
  }
  return last_run;
}

Duration StopModel::ConnectTime(std::size_t index) const {
  const std::vector<ModelAttempt>& plans = this->requests[index].attempts;
  Duration time{};
  for (std::size_t number = 0; number < this->all_courses[index].attempts.size(); ++number) {
    const ModelAttempt& plan = plans[std::min(number, plans.size() - 1)];
    time += plan.result == AttemptResult::kConnectFailure ? plan.work : Duration();
  }
  return time;
}

bool StopModel::MayBeBrokenOff(const ModelRequest& request, Duration time) const {
  return time >= request.sent + request.budget ||
         (time >= this->order.grace - this->order.grace / 6 && request.sent <= kLatestExcused);
}

ModelFault StopModel::Judge(std::size_t index) const {
  const ModelRequest& request = this->requests[index];
  const Course& course = this->all_courses[index];
  if (!course.read) {
    return ModelFault::kNone;
  }
  bool has_run = false;
  bool passed_on = false;
  for (const Course::Attempt& attempt : course.attempts) {
    passed_on = passed_on || attempt.passed_on;
    has_run = has_run || (attempt.passed_on && attempt.result != AttemptResult::kShed);
    if (attempt.broken_off && *attempt.broken_off >= attempt.target_begin &&
        !this->MayBeBrokenOff(request, *attempt.broken_off)) {
      return ModelFault::kBrokenOff;
    }
  }
  if (course.refused && *course.read < Duration::zero()) {
    return ModelFault::kRefusedWithoutNeed;
  }
  if (course.ended && !course.closed) {
    const bool waits = request.slot_free_at != Duration::min();
    const Duration limit = kRefusalLimit + this->ConnectTime(index);
    if (!passed_on && !waits && *course.ended > this->AfterRunning(*course.read, limit)) {
      return ModelFault::kLateRefusal;
    }
    if ((course.refused || course.outcome == Outcome::kNotRun) && has_run) {
      return ModelFault::kToldNotRun;
    }
    const bool replaced = !course.refused && passed_on && course.outcome != Outcome::kTarget &&
                          course.attempts.back().result == AttemptResult::kSuccess &&
                          !course.attempts.back().broken_off &&
                          *course.ended < request.sent + request.budget;
    return replaced ? ModelFault::kAnswerReplaced : ModelFault::kNone;
  }
  const Duration grace = this->order.grace;
  const bool target_broke_off =
      course.closed && course.attempts.back().result == AttemptResult::kConnectionLost;
  if (target_broke_off || request.sent + request.budget <= grace) {
    return ModelFault::kNone;
  }
  // Later requests can be refused, unless they end in time by themselves.
  const bool must_accept =
      request.sent <= Duration::zero() || (request.idempotent && request.sent <= kLatestExcused);
  if (!passed_on) {
    if (request.sent + kRefusalLimit >= grace) {
      return ModelFault::kNone;
    }
    if (must_accept && this->LastRun() <= *course.read + kHandling) {
      return ModelFault::kNoTimeToAnswer;
    }
    return must_accept && kSignalSent + this->LastRun() - kHandling <= this->host_end.last_start
               ? ModelFault::kWaitedAtTheEnd
               : ModelFault::kNotPassedOnNoAnswer;
  }
  const Course::Attempt& last = course.attempts.back();
  const bool was_at_work = last.passed_on && last.target_begin < last.broken_off.value_or(grace);
  const Duration worked_until =
      was_at_work ? last.broken_off.value_or(last.target_end) : Duration::min();
  if (worked_until >= grace - grace / 6 && request.sent <= kLatestExcused) {
    return ModelFault::kNone;
  }
  return must_accept && worked_until < grace && this->LastRun() <= worked_until + kHandling
             ? ModelFault::kNoTimeToAnswer
             : ModelFault::kNoAnswer;
}

}  // namespace pimentopin

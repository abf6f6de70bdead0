#include "Bench/Simulation/request_tracker.h"

namespace pimentopin::bench {

void RequestTracker::OnRequestSubmitted(const RequestDescription& description,
                                        TimePoint intended_arrival) {
  this->requests[description.request] = {.description = description,
                                         .intended_arrival = intended_arrival};
  ++this->request_counts.requests;
}

void RequestTracker::OnAttemptStarted(RequestId request) {
  if (TrackedRequest* tracked = this->Find(request)) {
    ++tracked->open_attempts;
    ++tracked->started_attempts;
    this->request_counts.retried += tracked->started_attempts == 2 ? 1 : 0;
  }
}

void RequestTracker::OnRunStarted(RequestId request) {
  TrackedRequest* tracked = this->Find(request);
  if (tracked == nullptr) {
    return;
  }
  ++tracked->runs;
  if (tracked->runs == 2) {
    (tracked->description.idempotent ? this->request_counts.idempotent_run_again
                                     : this->request_counts.non_idempotent_run_twice) += 1;
  }
  if (tracked->finished && tracked->finish.outcome == Outcome::kNotRun) {
    ++this->request_counts.false_not_run;
  }
}

void RequestTracker::OnAttemptEnded(RequestId request) {
  if (TrackedRequest* tracked = this->Find(request)) {
    --tracked->open_attempts;
    this->EraseIfDone(request);
  }
}

void RequestTracker::OnResponseForwarded(RequestId request) {
  if (TrackedRequest* tracked = this->Find(request)) {
    this->request_counts.duplicate_responses += ++tracked->responses > 1 ? 1 : 0;
  }
}

void RequestTracker::OnBadResponseForwarded(RequestId request) {
  if (TrackedRequest* tracked = this->Find(request)) {
    tracked->bad_response = true;
  }
}

void RequestTracker::OnRequestFinished(const FinishRequest& finish, TimePoint ended_at) {
  TrackedRequest* tracked = this->Find(finish.request);
  if (tracked == nullptr || tracked->finished) {
    ++this->request_counts.duplicate_responses;
    return;
  }
  tracked->finished = true;
  tracked->finish = finish;
  tracked->ended_at = ended_at;
  switch (finish.outcome) {
    case Outcome::kTarget:
      (finish.last_result == AttemptResult::kServerError ? this->request_counts.server_errors
                                                         : this->request_counts.complete) += 1;
      break;
    case Outcome::kNotRun:
      ++this->request_counts.refused;
      this->request_counts.false_not_run += tracked->runs > 0 ? 1 : 0;
      break;
    case Outcome::kUnknown:
      ++this->request_counts.unknown;
      break;
  }
  this->request_counts.late += ended_at > tracked->description.deadline ? 1 : 0;
  if (this->on_finished) {
    this->on_finished(*tracked);
  }
  this->EraseIfDone(finish.request);
}

TrackedRequest* RequestTracker::Find(RequestId request) {
  const auto position = this->requests.find(request);
  return position == this->requests.end() ? nullptr : &position->second;
}

void RequestTracker::EraseIfDone(RequestId request) {
  const TrackedRequest* tracked = this->Find(request);
  if (tracked != nullptr && tracked->finished && tracked->open_attempts == 0) {
    this->requests.erase(request);
  }
}

}  // namespace pimentopin::bench

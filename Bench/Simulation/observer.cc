#include "Bench/Simulation/observer.h"

namespace pimentopin::bench {

void Observer::Begin(const RequestDescription& description, TimePoint intended) {
  this->requests[description.request] = {.description = description, .intended = intended};
  ++this->totals.requests;
}

void Observer::AttemptStarted(RequestId request) {
  if (ObservedRequest* observed = this->Find(request)) {
    ++observed->open_attempts;
    ++observed->starts;
    this->totals.retried += observed->starts == 2 ? 1 : 0;
  }
}

void Observer::RunStarted(RequestId request) {
  ObservedRequest* observed = this->Find(request);
  if (observed == nullptr) {
    return;
  }
  ++observed->runs;
  if (observed->runs == 2) {
    (observed->description.idempotent ? this->totals.run_again
                                      : this->totals.non_idempotent_run_twice) += 1;
  }
  if (observed->finished && observed->finish.outcome == Outcome::kNotRun) {
    ++this->totals.false_not_run;
  }
}

void Observer::AttemptEnded(RequestId request) {
  if (ObservedRequest* observed = this->Find(request)) {
    --observed->open_attempts;
    this->ForgetIfDone(request);
  }
}

void Observer::Forwarded(RequestId request) {
  if (ObservedRequest* observed = this->Find(request)) {
    this->totals.answered_twice += ++observed->answers > 1 ? 1 : 0;
  }
}

void Observer::ForwardedBadly(RequestId request) {
  if (ObservedRequest* observed = this->Find(request)) {
    observed->bad_answer = true;
  }
}

void Observer::Finished(const FinishRequest& finish, TimePoint ended) {
  ObservedRequest* observed = this->Find(finish.request);
  if (observed == nullptr || observed->finished) {
    ++this->totals.answered_twice;
    return;
  }
  observed->finished = true;
  observed->finish = finish;
  observed->ended = ended;
  switch (finish.outcome) {
    case Outcome::kTarget:
      (finish.last_result == AttemptResult::kServerError ? this->totals.server_errors
                                                         : this->totals.complete) += 1;
      break;
    case Outcome::kNotRun:
      ++this->totals.refused;
      this->totals.false_not_run += observed->runs > 0 ? 1 : 0;
      break;
    case Outcome::kUnknown:
      ++this->totals.unknown;
      break;
  }
  this->totals.late += ended > observed->description.deadline ? 1 : 0;
  if (this->on_finished) {
    this->on_finished(*observed);
  }
  this->ForgetIfDone(finish.request);
}

ObservedRequest* Observer::Find(RequestId request) {
  const auto position = this->requests.find(request);
  return position == this->requests.end() ? nullptr : &position->second;
}

void Observer::ForgetIfDone(RequestId request) {
  const ObservedRequest* observed = this->Find(request);
  if (observed != nullptr && observed->finished && observed->open_attempts == 0) {
    this->requests.erase(request);
  }
}

}  // namespace pimentopin::bench

#include "Libraries/LibHost/error_answer.h"

#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

// Told to callers of requests that did not run when nothing better is known.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(250);

ErrorAnswer RefusalAnswer(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
      return {503, Outcome::kNotRun, "overload", "the service cannot meet the deadline now"};
    case RefusalReason::kQueueFull:
      return {503, Outcome::kNotRun, "queue-full", "the queue of the service is full"};
    case RefusalReason::kDeadline:
      return {504, Outcome::kNotRun, "deadline", "the deadline passed before a target was free"};
    case RefusalReason::kRetryBudget:
      return {503, Outcome::kNotRun, "retry-budget",
              "an attempt failed and the retry budget of the service is used up"};
    case RefusalReason::kCrashRequest:
      return {422, Outcome::kNotRun, "crash-request",
              "earlier copies of this request crashed the targets that ran them"};
    case RefusalReason::kNoTarget:
      return {503, Outcome::kNotRun, "no-target", "no target accepts work for this caller"};
    case RefusalReason::kNotBroker:
    case RefusalReason::kNone:
      break;
  }
  return {502, Outcome::kNotRun, "no-connection", "no target could be reached"};
}

ErrorAnswer UnknownAnswer(AttemptResult result) {
  if (result == AttemptResult::kTimeout) {
    return {504, Outcome::kUnknown, "timeout", "the target did not answer within the deadline"};
  }
  if (result == AttemptResult::kWrongAnswer) {
    return {502, Outcome::kUnknown, "wrong-answer", "the target's answer was not to this request"};
  }
  return {502, Outcome::kUnknown, "connection-lost", "the connection to the target was lost"};
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kTarget:
      return "target";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int ErrorAnswer::StatusIn(const MessageDialect& dialect) const {
  return dialect.OwnStatus(this->status, this->outcome == Outcome::kNotRun);
}

void ErrorAnswer::Send(HttpResponder& responder,
                       std::string_view request_id,
                       const MessageDialect& dialect) const {
  responder.Respond(this->StatusIn(dialect), this->Headers(request_id, dialect),
                    this->Body(request_id));
}

HttpHeaders ErrorAnswer::Headers(std::string_view request_id, const MessageDialect& dialect) const {
  HttpHeaders headers = {
      {"Content-Type", "application/json"},
      {std::string(kOutcomeHeader), std::string(OutcomeName(this->outcome))},
      {std::string(kReasonHeader), this->reason},
      {std::string(kRequestIdHeader), std::string(request_id)},
  };
  const bool may_come_back = this->outcome == Outcome::kNotRun && this->status >= 500;
  if (may_come_back || this->retry_after > Duration::zero()) {
    headers.push_back({"Retry-After", dialect.RetryAfterText(this->retry_after > Duration::zero()
                                                                 ? this->retry_after
                                                                 : kDefaultRetryAfter)});
  }
  return headers;
}

std::string ErrorAnswer::Body(std::string_view request_id) const {
  const nlohmann::json body = {{"error",
                                {{"reason", this->reason},
                                 {"message", this->message},
                                 {"outcome", OutcomeName(this->outcome)},
                                 {"request_id", request_id}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

ErrorAnswer AnswerFor(const FinishRequest& finish) {
  ErrorAnswer answer = finish.outcome == Outcome::kNotRun ? RefusalAnswer(finish.refusal)
                                                          : UnknownAnswer(finish.last_result);
  answer.retry_after = finish.retry_after;
  return answer;
}

}  // namespace pimentopin

#include "Libraries/LibHost/error_response.h"

#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

// Sent to callers of requests that did not run if no better estimate is available.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(250);

ErrorResponse RefusalResponse(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
      return {503, Outcome::kNotRun, "overload",
              "the service cannot meet the deadline under its current load"};
    case RefusalReason::kQueueFull:
      return {503, Outcome::kNotRun, "queue-full", "the queue of the service is full"};
    case RefusalReason::kDeadline:
      return {504, Outcome::kNotRun, "deadline", "the deadline passed before a target was free"};
    case RefusalReason::kRetryBudget:
      return {503, Outcome::kNotRun, "retry-budget",
              "an attempt failed and the retry budget of the service is exhausted"};
    case RefusalReason::kCrashRequest:
      return {422, Outcome::kNotRun, "crash-request",
              "identical earlier requests crashed the targets that ran them"};
    case RefusalReason::kNoTarget:
      return {503, Outcome::kNotRun, "no-target", "no target accepts requests of this caller"};
    case RefusalReason::kShed:
      return {503, Outcome::kNotRun, "shed",
              "the target refused the request and no further attempt is allowed"};
    case RefusalReason::kHoldOff:
      return {503, Outcome::kNotRun, "held-off",
              "all targets asked this host to send nothing until after the deadline"};
    case RefusalReason::kHostEnd:
      return {503, Outcome::kNotRun, "stopping",
              "this host will have stopped before the request can end"};
    case RefusalReason::kNotBroker:
    case RefusalReason::kNone:
      break;
  }
  return {502, Outcome::kNotRun, "no-connection", "no target could be reached"};
}

ErrorResponse UnknownOutcomeResponse(RefusalReason reason, AttemptResult result) {
  if (reason == RefusalReason::kHostEnd) {
    return {504, Outcome::kUnknown, "stopping", "this host stops before the target responds"};
  }
  if (result == AttemptResult::kTimeout) {
    return {504, Outcome::kUnknown, "timeout", "the target did not respond before the deadline"};
  }
  if (result == AttemptResult::kWrongAnswer) {
    return {502, Outcome::kUnknown, "wrong-answer",
            "the target's response was invalid or belonged to another request"};
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

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "";
    case RefusalReason::kOverload:
      return "overload";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kRetryBudget:
      return "retry-budget";
    case RefusalReason::kCrashRequest:
      return "crash-request";
    case RefusalReason::kNoTarget:
      return "no-target";
    case RefusalReason::kNotBroker:
      return "not-broker";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kHoldOff:
      return "held-off";
    case RefusalReason::kHostEnd:
      return "host-end";
  }
  return "unknown";
}

int ErrorResponse::StatusFor(const HttpDialect& dialect) const {
  return dialect.HostResponseStatus(this->status, this->outcome == Outcome::kNotRun);
}

void ErrorResponse::Send(HttpResponder& responder,
                         std::string_view request_id,
                         const HttpDialect& dialect) const {
  responder.Respond(this->StatusFor(dialect), this->Headers(request_id, dialect),
                    this->Body(request_id));
}

void ErrorResponse::SendInPlaceOfStarted(HttpResponder& responder,
                                         std::string_view request_id,
                                         const HttpDialect& dialect) const {
  responder.Replace(this->StatusFor(dialect), this->Headers(request_id, dialect),
                    this->Body(request_id));
}

HttpHeaders ErrorResponse::Headers(std::string_view request_id, const HttpDialect& dialect) const {
  HttpHeaders headers = {
      {"Content-Type", "application/json"},
      {std::string(kOutcomeHeader), std::string(OutcomeName(this->outcome))},
      {std::string(kReasonHeader), this->reason},
      {std::string(kRequestIdHeader), std::string(request_id)},
  };
  const bool is_retryable = this->outcome == Outcome::kNotRun && this->status >= 500;
  if (is_retryable || this->retry_after > Duration::zero()) {
    headers.push_back({"Retry-After", dialect.RetryAfterText(this->retry_after > Duration::zero()
                                                                 ? this->retry_after
                                                                 : kDefaultRetryAfter)});
  }
  return headers;
}

std::string ErrorResponse::Body(std::string_view request_id) const {
  const nlohmann::json body = {{"error",
                                {{"reason", this->reason},
                                 {"message", this->message},
                                 {"outcome", OutcomeName(this->outcome)},
                                 {"request_id", request_id}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

ErrorResponse ErrorResponseFor(const FinishRequest& finish) {
  ErrorResponse response = finish.outcome == Outcome::kNotRun
                               ? RefusalResponse(finish.refusal)
                               : UnknownOutcomeResponse(finish.refusal, finish.last_result);
  response.retry_after = finish.retry_after;
  return response;
}

}  // namespace pimentopin

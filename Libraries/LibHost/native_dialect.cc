#include "Libraries/LibHost/native_dialect.h"

#include <fmt/format.h>

#include "Libraries/LibHost/error_response.h"

namespace pimentopin {
namespace {

std::string FormatAttemptId(AttemptId id) {
  return fmt::format("{:016x}", RawId(id));
}

}  // namespace

std::string NativeDialect::CallerRequestId(const HttpHeaders& headers) const {
  return std::string(FindHeader(headers, kRequestIdHeader));
}

std::string_view NativeDialect::CallerName(const HttpHeaders& headers) const {
  return FindHeader(headers, kCallerHeader);
}

std::string_view NativeDialect::CallerCredential(const HttpHeaders& headers) const {
  return FindHeader(headers, kKeyHeader);
}

std::string_view NativeDialect::CallerDeadline(const HttpHeaders& headers) const {
  return FindHeader(headers, kDeadlineHeader);
}

int NativeDialect::HostResponseStatus(int status, bool /*not_run*/) const {
  return status;
}

std::string NativeDialect::RetryAfterText(Duration delay) const {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

HttpHeaders NativeDialect::TargetHeaders(const Exchange& exchange,
                                         const TargetAttempt& attempt) const {
  HttpHeaders headers = {{"Pimentopin-Host", attempt.host_name},
                         {"Pimentopin-Host-Domain", attempt.domain_name}};
  const HttpHeaders forwarded = ForwardableHeaders(exchange.request.headers);
  headers.insert(headers.end(), forwarded.begin(), forwarded.end());
  headers.push_back({std::string(kAttemptIdHeader), FormatAttemptId(attempt.attempt_id)});
  headers.push_back({std::string(kRequestIdHeader), exchange.request_id});
  headers.push_back({std::string(kCallerHeader), exchange.caller});
  if (exchange.identified_by_key) {
    headers.push_back({std::string(kOrganisationHeader), exchange.organisation});
  }
  headers.push_back(
      {std::string(kDeadlineHeader),
       std::to_string(std::chrono::ceil<std::chrono::milliseconds>(attempt.remaining).count())});
  return headers;
}

std::string NativeDialect::EchoedId(const Exchange& /*exchange*/,
                                    const TargetAttempt& attempt) const {
  return FormatAttemptId(attempt.attempt_id);
}

TargetResponseInfo NativeDialect::InterpretResponse(const Exchange& /*exchange*/,
                                                    const TargetAttempt& attempt,
                                                    const TargetResponseHead& head) const {
  TargetResponseInfo info = this->InterpretProbe(head.status, head.headers);
  const std::string_view echoed = FindHeader(head.headers, kAttemptIdHeader);
  info.named_request = CompareEchoedId(echoed, FormatAttemptId(attempt.attempt_id));
  const bool is_own = info.named_request == NamedRequest::kThis;
  const bool states_not_run =
      head.status == 503 && FindHeader(head.headers, "Target-Outcome") == "not-run";
  const bool may_be_late_copy = !is_own && (!echoed.empty() || head.connection_reused);
  info.shed = states_not_run && !may_be_late_copy;
  info.unusable = (!echoed.empty() && !is_own) || (states_not_run && may_be_late_copy);
  info.content_digest = std::string(FindHeader(head.headers, "Content-Digest"));
  return info;
}

TargetResponseInfo NativeDialect::InterpretProbe(int status, const HttpHeaders& headers) const {
  return {.leaving = FindHeader(headers, "Target-State") == "draining",
          .retry_after = status == 503 ? ParseRetryAfter(headers) : Duration::zero()};
}

}  // namespace pimentopin

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
  headers.push_back(
      {std::string(kDeadlineHeader),
       std::to_string(std::chrono::ceil<std::chrono::milliseconds>(attempt.remaining).count())});
  return headers;
}

TargetResponseInfo NativeDialect::InterpretResponse(const Exchange& /*exchange*/,
                                                    const TargetAttempt& attempt,
                                                    int status,
                                                    const HttpHeaders& headers) const {
  const std::string_view echoed = FindHeader(headers, kAttemptIdHeader);
  return {.shed = status == 503 && FindHeader(headers, "Target-Outcome") == "not-run",
          .leaving = FindHeader(headers, "Target-State") == "draining",
          .unusable = !echoed.empty() && echoed != FormatAttemptId(attempt.attempt_id),
          .content_digest = std::string(FindHeader(headers, "Content-Digest"))};
}

}  // namespace pimentopin

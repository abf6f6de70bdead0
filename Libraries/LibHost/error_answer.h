#pragma once

#include <string>
#include <string_view>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHost/message_dialect.h"
#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibHttp/http_server.h"

namespace pimentopin {

inline constexpr std::string_view kOutcomeHeader = "Pimentopin-Outcome";
inline constexpr std::string_view kReasonHeader = "Pimentopin-Reason";
inline constexpr std::string_view kRequestIdHeader = "Pimentopin-Request-Id";
inline constexpr std::string_view kCallerHeader = "Pimentopin-Caller";
inline constexpr std::string_view kDeadlineHeader = "Pimentopin-Deadline-Ms";
inline constexpr std::string_view kAttemptIdHeader = "Pimentopin-Attempt-Id";
inline constexpr std::string_view kReplayedHeader = "Pimentopin-Replayed";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

std::string_view OutcomeName(Outcome outcome);

// An answer made by the host itself, not by a target.
struct ErrorAnswer {
  int status = 500;
  Outcome outcome = Outcome::kNotRun;
  // Machine-readable, for example "no-access".
  std::string reason;
  std::string message;
  Duration retry_after{};

  // The status that callers of the dialect get.
  int StatusIn(const MessageDialect& dialect) const;
  void Send(HttpResponder& responder,
            std::string_view request_id,
            const MessageDialect& dialect) const;

  friend bool operator==(const ErrorAnswer&, const ErrorAnswer&) = default;

 private:
  HttpHeaders Headers(std::string_view request_id, const MessageDialect& dialect) const;
  std::string Body(std::string_view request_id) const;
};

// The answer for a request that ended without a target's answer.
ErrorAnswer AnswerFor(const FinishRequest& finish);

}  // namespace pimentopin

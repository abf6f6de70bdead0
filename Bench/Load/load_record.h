#pragma once

#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Result of one request as the caller observed it.
struct LoadRecord {
  std::string request_id;
  // Empty if the request has none.
  std::string idempotency_key;
  std::string stream;
  std::string service;
  bool direct = false;
  int status = 0;
  // Values of the headers Pimentopin-Outcome and Pimentopin-Reason.
  std::string outcome;
  std::string reason;
  TransferError error = TransferError::kNone;
  // The response was received completely.
  bool complete = false;
  // The body is the expected response to this request.
  bool body_matches = false;
  bool replayed = false;
  // Time from the intended start of the request to the end of the response.
  Duration latency{};

  friend bool operator==(const LoadRecord&, const LoadRecord&) = default;
};

}  // namespace pimentopin

#pragma once

#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// What the caller of one request saw.
struct LoadRecord {
  std::string request_id;
  // Empty for requests without one.
  std::string idempotency_key;
  std::string stream;
  std::string service;
  bool direct = false;
  int status = 0;
  // Header Pimentopin-Outcome and Pimentopin-Reason.
  std::string outcome;
  std::string reason;
  TransferError error = TransferError::kNone;
  // The answer ended as announced.
  bool whole = false;
  // The body is the answer to this very request.
  bool own = false;
  bool replayed = false;
  // From the intended start to the end of the answer.
  Duration latency{};

  friend bool operator==(const LoadRecord&, const LoadRecord&) = default;
};

}  // namespace pimentopin

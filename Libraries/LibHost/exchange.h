#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHttp/http_server.h"
#include "Libraries/LibIdempotency/claim_store.h"

namespace pimentopin {

// One caller's request inside a host, from its arrival to its outcome.
struct Exchange {
  HttpServerRequest request;
  std::shared_ptr<HttpResponder> responder;
  // As shown to the caller, in logs and to the target.
  std::string request_id;
  std::string service;
  std::string caller;
  std::string organisation;
  // Path and query as the target sees them.
  std::string target_path;
  RequestDescription description;
  // Name of the route that matched; empty if none was needed.
  std::string route;
  // Set for keyed non-idempotent work.
  std::optional<ClaimKey> claim_key;
  TimePoint arrived;
};

}  // namespace pimentopin

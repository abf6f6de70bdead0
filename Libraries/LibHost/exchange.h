#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHttp/http_server.h"
#include "Libraries/LibIdempotency/claim_store.h"

namespace pimentopin {

// A caller's request within a host, from arrival to outcome.
struct Exchange {
  HttpServerRequest request;
  std::shared_ptr<HttpResponder> responder;
  // The id that appears in logs and is sent to the caller and the target.
  std::string request_id;
  std::string service;
  std::string caller;
  std::string organisation;
  // The configuration requires keys, so that only the host names the organisation to targets.
  bool names_organisation = false;
  // A key identified the organisation, which is false on anonymous routes.
  bool identified_by_key = false;
  // Path and query that are sent to the target.
  std::string target_path;
  RequestDescription description;
  // Name of the matching route; empty if the path named the service.
  std::string route;
  // Set for non-idempotent requests with an idempotency key.
  std::optional<ClaimKey> claim_key;
  TimePoint arrived;
};

}  // namespace pimentopin

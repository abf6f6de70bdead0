#pragma once

#include <optional>
#include <string>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHost/error_response.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibHost/http_dialect.h"

namespace pimentopin {

// Validates a caller's request against the configuration and fills in everything except
// `responder` and the request ids. A matching route takes precedence; otherwise the first
// segment of the path names the service, if the dialect has it so. `request_id` selects the service
// of a route with weighted services. Without `keys_confirmed`, this host does not know whether its
// configuration still decides on keys, and refuses requests that need one. Moves `request` into the
// result; on failure leaves it unchanged, sets `refusal` and returns no value.
std::optional<Exchange> ReadRequest(const Configuration& configuration,
                                    const HttpDialect& dialect,
                                    HttpServerRequest& request,
                                    const std::string& request_id,
                                    TimePoint now,
                                    bool keys_confirmed,
                                    ErrorResponse& refusal);

}  // namespace pimentopin

#pragma once

#include <optional>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHost/error_answer.h"
#include "Libraries/LibHost/exchange.h"

namespace pimentopin {

// Checks a caller's request against the configuration and fills in everything
// but `responder` and the request ids. On failure
// returns nothing and sets `refusal`.
std::optional<Exchange> ReadRequest(const Configuration& configuration,
                                    HttpServerRequest request,
                                    TimePoint now,
                                    ErrorAnswer& refusal);

}  // namespace pimentopin

#pragma once

#include <string>

#include "Libraries/LibIdempotency/claim_ledger.h"

namespace pimentopin {

// `claim/<service>/<organisation>/<key>`; different claim keys give different row keys.
std::string ClaimRowKey(const ClaimKey& key);

}  // namespace pimentopin

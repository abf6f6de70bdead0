#pragma once

#include <optional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibIdempotency/claim_ledger.h"

namespace pimentopin {

enum class ClaimRowState {
  // An attempt may run or may have run the request.
  kClaimed,
  // The claimer proved that it sent nothing; the key is free.
  kReleased,
  // The request ran; the outcome is in the row.
  kDone,
};

// Value of the table row of one key.
struct ClaimRow {
  ClaimRowState state = ClaimRowState::kClaimed;
  AttemptId attempt{};
  Fingerprint fingerprint{};
  // Present only in state kDone.
  std::optional<StoredOutcome> outcome;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

// Pure ASCII JSON. Header and body bytes that are not valid UTF-8 are kept as base64.
std::string EncodeClaimRow(const ClaimRow& row);

// No value if the text is not a claim row.
std::optional<ClaimRow> DecodeClaimRow(const std::string& text);

}  // namespace pimentopin

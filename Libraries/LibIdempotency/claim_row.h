#pragma once

#include <optional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibIdempotency/claim_ledger.h"

namespace pimentopin {

enum class ClaimState { kClaimed, kReleased, kDone };

// Value of a row claim/<service>/<organisation>/<key>, stored as JSON.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  AttemptId attempt{};
  Fingerprint fingerprint{};
  // Only if done.
  std::optional<StoredOutcome> outcome;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

std::string FormatClaimRow(const ClaimRow& row);
// std::nullopt if the text is not a claim row.
std::optional<ClaimRow> ParseClaimRow(const std::string& text);

}  // namespace pimentopin

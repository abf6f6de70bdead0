#pragma once

#include <optional>
#include <string>

#include "Libraries/LibCore/findings.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibIdempotency/claim_store.h"

namespace pimentopin {

enum class ClaimState { kClaimed, kReleased, kDone };

// Value of the row claim/<service>/<organisation>/<key>, stored as JSON.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  AttemptId attempt{};
  Fingerprint fingerprint{};
  // Present only in state kDone.
  std::optional<StoredResponse> response;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

std::string FormatClaimRow(const ClaimRow& row);
// Returns std::nullopt, with the reasons in `findings`, if the text is not a valid claim row.
std::optional<ClaimRow> ParseClaimRow(const std::string& text, Findings& findings);
std::optional<ClaimRow> ParseClaimRow(const std::string& text);

}  // namespace pimentopin

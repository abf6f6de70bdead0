#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibIdempotency/claim_ledger.h"

namespace pimentopin {

enum class ClaimPhase {
  // The decision is open.
  kClaiming,
  // The caller may run the request.
  kHeld,
  // `done` is being stored.
  kCompleting,
  // `released` is being stored, after Release or for a claim that timed out.
  kReleasing,
};

enum class ClaimStep {
  // Nothing to do before `due`, if at all.
  kWaiting,
  // The write leaves with the next Tick.
  kQueued,
  // A read or write has no answer yet.
  kInFlight,
};

// What the ledger knows about one attempt.
struct ClaimRecord {
  ClaimPhase phase = ClaimPhase::kClaiming;
  ClaimStep step = ClaimStep::kWaiting;
  std::string row_key;
  Fingerprint fingerprint{};
  std::function<void(const ClaimResult&)> callback;
  // End of kClaiming.
  TimePoint deadline;
  // Version that the next or last write replaces; in kHeld the version of our claim.
  std::uint64_t expected_version = 0;
  // Value that the next or last write stores.
  std::string value;
  // Claim writes at `expected_version` that were sent and not proven unapplied.
  int unresolved_writes = 0;
  // Answers to any other operation are stale and are ignored.
  std::uint64_t operation = 0;
  // Next retry in kWaiting; time-out of the operation in kInFlight.
  TimePoint due;
  Duration backoff{};
};

}  // namespace pimentopin

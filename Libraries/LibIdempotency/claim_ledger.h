#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

class ClaimProcessor;

// Answer of a target as kept for repeats of a keyed request.
struct StoredOutcome {
  int status = 0;
  HttpHeaders headers;
  // Absent if the body was larger than ClaimLedger::kMaxStoredBodyBytes.
  std::optional<std::string> body;

  friend bool operator==(const StoredOutcome&, const StoredOutcome&) = default;
};

enum class ClaimDecision {
  // This host holds the claim and may send the request once.
  kRun,
  // `outcome` holds the stored answer.
  kReplay,
  // Finished earlier, but the answer was too large to keep.
  kAlreadyRun,
  // Claimed by another attempt that has not finished, or was lost.
  kInProgressOrLost,
  // The key was used with another request.
  kKeyReused,
  // The table did not answer; nothing was sent.
  kTableUnavailable,
};

struct ClaimResult {
  ClaimDecision decision = ClaimDecision::kTableUnavailable;
  std::optional<StoredOutcome> outcome;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

struct ClaimKey {
  std::string service;
  std::string organisation;
  // The caller's Idempotency-Key.
  std::string key;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// At-most-once execution of keyed non-idempotent work by conditional writes.
// Runs on the control thread; depends on neither leases nor membership.
class ClaimLedger {
 public:
  static constexpr std::size_t kMaxStoredBodyBytes = 32 * 1024;

  // Answers of the table that arrive after the destruction have no effect.
  explicit ClaimLedger(TableStore& table);
  ~ClaimLedger();
  ClaimLedger(const ClaimLedger&) = delete;
  ClaimLedger& operator=(const ClaimLedger&) = delete;

  // Calls back once, from Tick or from an answer of the table; kRun obliges the caller to
  // end with Complete, Release or Abandon. Those do nothing for a claim that is not held.
  // The attempt id must be unique over the fleet.
  void Claim(TimePoint now,
             const ClaimKey& key,
             AttemptId claimant,
             Fingerprint fingerprint,
             std::function<void(const ClaimResult&)> callback);
  // The request ran; its outcome is stored, with retries while the table is down.
  void Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome);
  // Nothing was sent; the key becomes free, with retries while the table is down.
  void Release(TimePoint now, AttemptId claimant);
  // Sent with unknown outcome: the row stays claimed for good.
  void Abandon(AttemptId claimant);
  // Call every 5 ms: sends batched writes and retries.
  void Tick(TimePoint now);
  // Writes not yet confirmed, open claims included; zero before a clean exit.
  std::size_t pending_writes() const;

 private:
  std::shared_ptr<ClaimProcessor> processor;
};

}  // namespace pimentopin

#include "Libraries/LibIdempotency/claim_ledger.h"

#include <utility>

#include "Libraries/LibIdempotency/claim_processor.h"

namespace pimentopin {

ClaimLedger::ClaimLedger(TableStore& table) : processor(std::make_shared<ClaimProcessor>(table)) {}

ClaimLedger::~ClaimLedger() {
  this->processor->Close();
}

void ClaimLedger::Claim(TimePoint now,
                        const ClaimKey& key,
                        AttemptId claimant,
                        Fingerprint fingerprint,
                        std::function<void(const ClaimResult&)> callback) {
  this->processor->Claim(now, key, claimant, fingerprint, std::move(callback));
}

void ClaimLedger::Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome) {
  this->processor->Complete(now, claimant, std::move(outcome));
}

void ClaimLedger::Release(TimePoint now, AttemptId claimant) {
  this->processor->Release(now, claimant);
}

void ClaimLedger::Abandon(AttemptId claimant) {
  this->processor->Abandon(claimant);
}

void ClaimLedger::Tick(TimePoint now) {
  // Keeps the processor while a callback of this Tick destroys the ledger.
  const auto processor = this->processor;
  processor->Tick(now);
}

std::size_t ClaimLedger::pending_writes() const {
  return this->processor->pending_writes();
}

}  // namespace pimentopin

#include "Libraries/LibIdempotency/claim_processor.h"

#include <algorithm>
#include <string>

#include "Libraries/LibIdempotency/claim_row_key.h"

namespace pimentopin {
namespace {

std::string RowValue(ClaimRowState state, AttemptId attempt, const ClaimRecord& record) {
  return EncodeClaimRow({.state = state, .attempt = attempt, .fingerprint = record.fingerprint});
}

// Decision on a row that another attempt wrote and that is not free.
ClaimResult ResultOfTakenRow(const ClaimRow& row, Fingerprint fingerprint) {
  if (row.fingerprint != fingerprint) {
    return {.decision = ClaimDecision::kKeyReused};
  }
  if (row.state != ClaimRowState::kDone || !row.outcome) {
    return {.decision = ClaimDecision::kInProgressOrLost};
  }
  if (!row.outcome->body) {
    return {.decision = ClaimDecision::kAlreadyRun};
  }
  return {.decision = ClaimDecision::kReplay, .outcome = row.outcome};
}

}  // namespace

void ClaimProcessor::Claim(TimePoint now,
                           const ClaimKey& key,
                           AttemptId claimant,
                           Fingerprint fingerprint,
                           Callback callback) {
  this->now = now;
  if (this->records.contains(claimant)) {
    // Two claims with one attempt id would both take the row for theirs.
    this->refusals.emplace_back(std::move(callback),
                                ClaimResult{.decision = ClaimDecision::kInProgressOrLost});
    return;
  }
  if (this->pending_writes() >= kMaxPendingWrites) {
    this->refusals.emplace_back(std::move(callback),
                                ClaimResult{.decision = ClaimDecision::kTableUnavailable});
    return;
  }
  ClaimRecord& record = this->records[claimant];
  record.row_key = ClaimRowKey(key);
  record.fingerprint = fingerprint;
  record.callback = std::move(callback);
  record.deadline = now + kClaimTimeout;
  record.backoff = kFirstBackoff;
  record.value = RowValue(ClaimRowState::kClaimed, claimant, record);
  this->QueueWrite(claimant, record);
}

void ClaimProcessor::Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome) {
  this->now = now;
  ClaimRecord* record = this->FindHeld(claimant);
  if (!record) {
    return;
  }
  if (outcome.body && outcome.body->size() > ClaimLedger::kMaxStoredBodyBytes) {
    outcome.body.reset();
  }
  record->phase = ClaimPhase::kCompleting;
  record->backoff = kFirstBackoff;
  record->value = EncodeClaimRow({.state = ClaimRowState::kDone,
                                  .attempt = claimant,
                                  .fingerprint = record->fingerprint,
                                  .outcome = std::move(outcome)});
  this->QueueWrite(claimant, *record);
}

void ClaimProcessor::Release(TimePoint now, AttemptId claimant) {
  this->now = now;
  if (ClaimRecord* record = this->FindHeld(claimant)) {
    this->StartRelease(claimant, *record);
  }
}

void ClaimProcessor::Abandon(AttemptId claimant) {
  if (this->FindHeld(claimant)) {
    this->records.erase(claimant);
  }
}

void ClaimProcessor::Tick(TimePoint now) {
  this->now = now;
  this->DeliverRefusals();
  this->TimeOutClaims();
  for (auto& [attempt, record] : this->records) {
    const bool timed = record.phase != ClaimPhase::kHeld && record.step != ClaimStep::kQueued;
    if (timed && now >= record.due) {
      this->Retry(attempt, record);
    }
  }
  this->SendQueuedWrites();
}

std::size_t ClaimProcessor::pending_writes() const {
  return static_cast<std::size_t>(
      std::count_if(this->records.begin(), this->records.end(),
                    [](const auto& entry) { return entry.second.phase != ClaimPhase::kHeld; }));
}

void ClaimProcessor::Close() {
  this->closed = true;
  this->records.clear();
  this->queue.clear();
  this->refusals.clear();
}

ClaimRecord* ClaimProcessor::FindHeld(AttemptId attempt) {
  const auto found = this->records.find(attempt);
  return found != this->records.end() && found->second.phase == ClaimPhase::kHeld ? &found->second
                                                                                  : nullptr;
}

ClaimRecord* ClaimProcessor::FindOperation(const WriteBatch::Origin& origin) {
  const auto found = this->records.find(origin.attempt);
  return found != this->records.end() && found->second.operation == origin.operation
             ? &found->second
             : nullptr;
}

void ClaimProcessor::QueueWrite(AttemptId attempt, ClaimRecord& record) {
  record.operation = ++this->last_operation;
  record.step = ClaimStep::kQueued;
  this->queue.push_back({.attempt = attempt, .operation = record.operation});
}

void ClaimProcessor::SendQueuedWrites() {
  std::vector<WriteBatch> batches(1);
  for (const WriteBatch::Origin& origin : std::exchange(this->queue, {})) {
    ClaimRecord* record = this->FindOperation(origin);
    if (!record) {
      continue;
    }
    const ConditionalWrite write{.key = record->row_key,
                                 .expected_version = record->expected_version,
                                 .value = record->value};
    if (!batches.back().Add(origin, write)) {
      batches.emplace_back().Add(origin, write);
    }
    record->step = ClaimStep::kInFlight;
    record->due = this->now + kAnswerTimeout;
    record->unresolved_writes += record->phase == ClaimPhase::kClaiming ? 1 : 0;
  }
  // Sent last, because the table may answer within the call and change the records.
  for (const WriteBatch& batch : batches) {
    this->SendBatch(batch);
  }
}

void ClaimProcessor::SendBatch(const WriteBatch& batch) {
  if (this->closed || batch.empty()) {
    return;
  }
  this->table.Write(batch.writes(), [weak = this->weak_from_this(), origins = batch.origins()](
                                        const std::optional<std::vector<WriteResult>>& results,
                                        const Error& error) {
    if (const auto processor = weak.lock()) {
      processor->OnBatchAnswer(origins, results, error);
    }
  });
}

void ClaimProcessor::SendRead(AttemptId attempt, ClaimRecord& record) {
  record.operation = ++this->last_operation;
  record.step = ClaimStep::kInFlight;
  record.due = this->now + kAnswerTimeout;
  const WriteBatch::Origin origin{.attempt = attempt, .operation = record.operation};
  const std::string row_key = record.row_key;
  this->table.Read(row_key, [weak = this->weak_from_this(), origin](
                                const std::optional<TableRow>& row, const Error&) {
    if (const auto processor = weak.lock()) {
      processor->OnReadAnswer(origin, row);
    }
  });
}

void ClaimProcessor::WaitForRetry(ClaimRecord& record) {
  record.operation = ++this->last_operation;
  record.step = ClaimStep::kWaiting;
  record.due = this->now + record.backoff;
  record.backoff = std::min(record.backoff * 2, kLastBackoff);
}

void ClaimProcessor::Retry(AttemptId attempt, ClaimRecord& record) {
  // Repeating a write is safe: of all writes that expect one version at most one applies.
  // Completions and releases repeat it because writes are batched and reads are not.
  this->QueueWrite(attempt, record);
}

void ClaimProcessor::OnBatchAnswer(const std::vector<WriteBatch::Origin>& origins,
                                   const std::optional<std::vector<WriteResult>>& results,
                                   const Error& error) {
  const bool complete = results && results->size() == origins.size();
  for (std::size_t index = 0; index < origins.size(); ++index) {
    const WriteBatch::Origin& origin = origins[index];
    ClaimRecord* record = this->FindOperation(origin);
    if (!record) {
      continue;
    }
    if (complete) {
      this->OnWriteResult(origin.attempt, *record, (*results)[index]);
    } else {
      // An answer that does not fit the call proves nothing about its writes.
      this->OnWriteFailure(origin.attempt, *record,
                           results ? Error{.code = ErrorCode::kUnknownOutcome} : error);
    }
  }
}

void ClaimProcessor::OnWriteResult(AttemptId attempt,
                                   ClaimRecord& record,
                                   const WriteResult& result) {
  if (!result.applied || result.version <= record.expected_version) {
    if (!result.applied && record.phase == ClaimPhase::kClaiming) {
      --record.unresolved_writes;
    }
    // Also when not applied: an earlier write of ours with a lost answer may be the one that was.
    this->SendRead(attempt, record);
    return;
  }
  if (record.phase == ClaimPhase::kClaiming) {
    this->Hold(record, result.version);
    this->Decide(attempt, {.decision = ClaimDecision::kRun});
    return;
  }
  this->records.erase(attempt);
}

void ClaimProcessor::OnWriteFailure(AttemptId attempt, ClaimRecord& record, const Error& error) {
  if (record.phase != ClaimPhase::kClaiming) {
    this->WaitForRetry(record);
    return;
  }
  // Only kUnreachable proves that the call did not reach the table.
  if (error.code == ErrorCode::kUnreachable && --record.unresolved_writes == 0) {
    this->Decide(attempt, {.decision = ClaimDecision::kTableUnavailable});
    return;
  }
  this->SendRead(attempt, record);
}

void ClaimProcessor::OnReadAnswer(const WriteBatch::Origin& origin,
                                  const std::optional<TableRow>& row) {
  ClaimRecord* record = this->FindOperation(origin);
  if (!record) {
    return;
  }
  // A version below the expected one was read before a write that we know of.
  if (!row || row->version < record->expected_version) {
    this->WaitForRetry(*record);
    return;
  }
  switch (record->phase) {
    case ClaimPhase::kClaiming:
      return this->ResolveClaim(origin.attempt, *record, *row);
    case ClaimPhase::kCompleting:
      return this->ResolveCompletion(origin.attempt, *record, *row);
    case ClaimPhase::kReleasing:
      return this->ResolveRelease(origin.attempt, *record, *row);
    case ClaimPhase::kHeld:
      return;
  }
}

void ClaimProcessor::ResolveClaim(AttemptId attempt, ClaimRecord& record, const TableRow& row) {
  if (row.version == record.expected_version) {
    // Our write is lost or still under way. The repetition settles which one applies.
    this->QueueWrite(attempt, record);
    return;
  }
  const auto found = DecodeClaimRow(row.value);
  if (!found) {
    this->Decide(attempt, {.decision = ClaimDecision::kInProgressOrLost});
    return;
  }
  if (found->state == ClaimRowState::kClaimed && found->attempt == attempt) {
    this->Hold(record, row.version);
    this->Decide(attempt, {.decision = ClaimDecision::kRun});
    return;
  }
  if (found->state == ClaimRowState::kReleased) {
    // Earlier writes expect an older version and can no longer apply.
    record.unresolved_writes = 0;
    record.expected_version = row.version;
    this->QueueWrite(attempt, record);
    return;
  }
  this->Decide(attempt, ResultOfTakenRow(*found, record.fingerprint));
}

void ClaimProcessor::ResolveCompletion(AttemptId attempt,
                                       ClaimRecord& record,
                                       const TableRow& row) {
  if (row.version == record.expected_version) {
    this->WaitForRetry(record);
    return;
  }
  // Nobody else changes a row that we have claimed: a newer version is our own write.
  this->records.erase(attempt);
}

void ClaimProcessor::ResolveRelease(AttemptId attempt, ClaimRecord& record, const TableRow& row) {
  if (row.version == record.expected_version) {
    this->WaitForRetry(record);
    return;
  }
  const auto found = DecodeClaimRow(row.value);
  if (found && found->state == ClaimRowState::kClaimed && found->attempt == attempt) {
    // The claim write applied before the release, which expected the version before it.
    record.expected_version = row.version;
    this->QueueWrite(attempt, record);
    return;
  }
  this->records.erase(attempt);
}

void ClaimProcessor::Hold(ClaimRecord& record, std::uint64_t version) {
  record.phase = ClaimPhase::kHeld;
  record.step = ClaimStep::kWaiting;
  record.expected_version = version;
  record.operation = ++this->last_operation;
}

void ClaimProcessor::Decide(AttemptId attempt, ClaimResult result) {
  const auto found = this->records.find(attempt);
  const Callback callback = std::exchange(found->second.callback, nullptr);
  if (found->second.phase == ClaimPhase::kClaiming) {
    this->records.erase(found);
  }
  // Last, because the callback may call the ledger again or destroy it.
  if (callback) {
    callback(result);
  }
}

void ClaimProcessor::TimeOutClaims() {
  std::vector<AttemptId> late;
  for (const auto& [attempt, record] : this->records) {
    if (record.phase == ClaimPhase::kClaiming && this->now >= record.deadline) {
      late.push_back(attempt);
    }
  }
  for (const AttemptId attempt : late) {
    const auto found = this->records.find(attempt);
    if (found != this->records.end()) {
      this->TimeOutClaim(attempt, found->second);
    }
  }
}

void ClaimProcessor::TimeOutClaim(AttemptId attempt, ClaimRecord& record) {
  if (record.unresolved_writes > 0) {
    // `released` is written over the version that the claim expects. If it applies first,
    // a delayed claim write can never apply; if not, the read back finds our claim.
    this->StartRelease(attempt, record);
  }
  this->Decide(attempt, {.decision = ClaimDecision::kTableUnavailable});
}

void ClaimProcessor::StartRelease(AttemptId attempt, ClaimRecord& record) {
  record.phase = ClaimPhase::kReleasing;
  record.backoff = kFirstBackoff;
  record.value = RowValue(ClaimRowState::kReleased, attempt, record);
  this->QueueWrite(attempt, record);
}

void ClaimProcessor::DeliverRefusals() {
  for (const auto& [callback, result] : std::exchange(this->refusals, {})) {
    // A callback may destroy the ledger.
    if (!this->closed) {
      callback(result);
    }
  }
}

}  // namespace pimentopin

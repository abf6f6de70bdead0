#include "Libraries/LibIdempotency/claim_store.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Libraries/LibIdempotency/claim_row.h"

namespace pimentopin {
namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(50);
// The table client replies within 2 s; a call without a reply is repeated.
constexpr Duration kTableCallTimeout = std::chrono::seconds(5);

// Unique per claim: names cannot contain '/', and the key may, as it comes last.
std::string RowKey(const ClaimKey& key) {
  return "claim/" + key.service + "/" + key.organisation + "/" + key.key;
}

}  // namespace

ClaimStore::ClaimStore(TableStore& store,
                       TickScheduler tick_scheduler,
                       ClaimLossHandler claim_loss_handler,
                       InvalidRowHandler invalid_row_handler)
    : table(store),
      schedule_tick(std::move(tick_scheduler)),
      on_claim_lost(std::move(claim_loss_handler)),
      on_invalid_row(std::move(invalid_row_handler)),
      alive(std::make_shared<ClaimStore*>(this)) {}

void ClaimStore::Claim(TimePoint now,
                       const ClaimKey& key,
                       AttemptId attempt,
                       Fingerprint fingerprint,
                       TimePoint limit,
                       std::function<void(const ClaimResult&)> callback) {
  this->last_call_at = std::max(this->last_call_at, now);
  if (this->entries.contains(attempt)) {
    callback({ClaimDecision::kInProgressOrLost, std::nullopt});
    return;
  }
  // Nothing has been written that would have to be released.
  if (now >= std::min(limit, this->common_limit)) {
    callback({ClaimDecision::kTableUnavailable, std::nullopt});
    return;
  }
  Entry& entry = this->entries[attempt];
  entry.key = key;
  entry.row_key = RowKey(key);
  entry.fingerprint = fingerprint;
  entry.callback = std::move(callback);
  entry.limit = std::min(limit, now + kClaimTimeout);
  this->StartStep(entry, Phase::kClaiming, Step::kWrite, now);
  this->schedule_tick(now + kBatchDelay);
}

void ClaimStore::LimitClaims(TimePoint limit) {
  this->common_limit = limit;
}

void ClaimStore::Complete(TimePoint now, AttemptId attempt, StoredResponse response) {
  this->last_call_at = std::max(this->last_call_at, now);
  const auto found = this->entries.find(attempt);
  if (found == this->entries.end() || found->second.phase != Phase::kHeld) {
    return;
  }
  if (response.body && response.body->size() > kMaxStoredBodyBytes) {
    response.body.reset();
  }
  found->second.response = std::move(response);
  this->StartStep(found->second, Phase::kCompleting, Step::kWrite, now);
  this->schedule_tick(now + kBatchDelay);
}

void ClaimStore::Release(TimePoint now, AttemptId attempt) {
  this->last_call_at = std::max(this->last_call_at, now);
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end() && found->second.phase == Phase::kHeld) {
    this->StartStep(found->second, Phase::kReleasing, Step::kWrite, now);
    this->schedule_tick(now + kBatchDelay);
  }
}

void ClaimStore::Abandon(AttemptId attempt) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end() && found->second.phase == Phase::kHeld) {
    this->entries.erase(found);
  }
}

void ClaimStore::StartStep(Entry& entry, Phase phase, Step step, TimePoint at) {
  entry.phase = phase;
  entry.step = step;
  entry.not_before = at;
  // Replies to operations in flight belong to an earlier step.
  ++entry.operation_id;
}

void ClaimStore::BeginFlush(TimePoint now) {
  this->max_retry_delay = kFlushRetryDelay;
  for (auto& [attempt, entry] : this->entries) {
    entry.not_before = std::min(entry.not_before, now + kFlushRetryDelay);
  }
}

void ClaimStore::Tick(TimePoint now) {
  this->last_call_at = std::max(this->last_call_at, now);
  std::vector<AttemptId> expired_claims;
  std::vector<std::pair<AttemptId, std::uint64_t>> timed_out_operations;
  for (const auto& [attempt, entry] : this->entries) {
    if (entry.phase == Phase::kClaiming && now >= std::min(entry.limit, this->common_limit)) {
      expired_claims.push_back(attempt);
    } else if (entry.phase != Phase::kHeld && entry.step == Step::kWaiting &&
               now - entry.sent_at >= kTableCallTimeout) {
      timed_out_operations.emplace_back(attempt, entry.operation_id);
    }
  }
  for (const AttemptId attempt : expired_claims) {
    this->ReportDecision(attempt, {ClaimDecision::kTableUnavailable, std::nullopt});
  }
  for (const auto& [attempt, operation_id] : timed_out_operations) {
    this->OnFailure(attempt, operation_id);
  }
  this->SendWrites(now);
  std::vector<AttemptId> pending_reads;
  for (const auto& [attempt, entry] : this->entries) {
    if (entry.phase != Phase::kHeld && entry.step == Step::kRead && entry.not_before <= now) {
      pending_reads.push_back(attempt);
    }
  }
  // The table may reply during the call and change the entries.
  for (const AttemptId attempt : pending_reads) {
    const auto found = this->entries.find(attempt);
    if (found != this->entries.end() && found->second.step == Step::kRead) {
      this->SendRead(now, attempt, found->second);
    }
  }
  if (this->pending_writes() > 0) {
    this->schedule_tick(now + kBatchDelay);
  }
}

void ClaimStore::SendWrites(TimePoint now) {
  using SentOperations = std::vector<std::pair<AttemptId, std::uint64_t>>;
  std::vector<std::pair<std::vector<ConditionalWrite>, SentOperations>> batches;
  std::size_t bytes = 0;
  for (auto& [attempt, entry] : this->entries) {
    if (entry.phase == Phase::kHeld || entry.step != Step::kWrite || entry.not_before > now) {
      continue;
    }
    std::string value = this->RowValue(attempt, entry);
    if (batches.empty() || batches.back().first.size() >= kMaxBatchWrites ||
        bytes + value.size() > kMaxBatchBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += value.size();
    entry.step = Step::kWaiting;
    entry.sent_at = now;
    batches.back().first.push_back({entry.row_key, entry.expected_version, std::move(value)});
    batches.back().second.emplace_back(attempt, entry.operation_id);
  }
  for (auto& [writes, sent] : batches) {
    this->table.Write(
        std::move(writes), [weak = std::weak_ptr(this->alive), sent = std::move(sent)](
                               std::optional<std::vector<WriteResult>> results, const Error&) {
          const auto self = weak.lock();
          for (std::size_t index = 0; self != nullptr && index < sent.size(); ++index) {
            const auto& [attempt, operation_id] = sent[index];
            if (results && results->size() == sent.size()) {
              (*self)->OnWritten(attempt, operation_id, (*results)[index]);
            } else {
              (*self)->OnFailure(attempt, operation_id);
            }
          }
        });
  }
}

void ClaimStore::SendRead(TimePoint now, AttemptId attempt, Entry& entry) {
  entry.step = Step::kWaiting;
  entry.sent_at = now;
  this->table.Read(entry.row_key,
                   [weak = std::weak_ptr(this->alive), attempt, operation_id = entry.operation_id](
                       std::optional<TableRow> row, const Error&) {
                     const auto self = weak.lock();
                     if (self == nullptr) {
                       return;
                     }
                     if (row) {
                       (*self)->OnRead(attempt, operation_id, *row);
                     } else {
                       (*self)->OnFailure(attempt, operation_id);
                     }
                   });
}

std::string ClaimStore::RowValue(AttemptId attempt, const Entry& entry) const {
  ClaimRow row{ClaimState::kClaimed, attempt, entry.fingerprint, std::nullopt};
  if (entry.phase == Phase::kReleasing) {
    row.state = ClaimState::kReleased;
  } else if (entry.phase == Phase::kCompleting) {
    row.state = ClaimState::kDone;
    row.response = entry.response;
  }
  return FormatClaimRow(row);
}

ClaimStore::Entry* ClaimStore::Find(AttemptId attempt, std::uint64_t operation_id) {
  const auto found = this->entries.find(attempt);
  const bool current = found != this->entries.end() && found->second.operation_id == operation_id &&
                       found->second.step == Step::kWaiting;
  return current ? &found->second : nullptr;
}

void ClaimStore::OnWritten(AttemptId attempt,
                           std::uint64_t operation_id,
                           const WriteResult& result) {
  Entry* const entry = this->Find(attempt, operation_id);
  if (entry == nullptr) {
    return;
  }
  entry->consecutive_failures = 0;
  if (!result.applied) {
    // Another write was applied first, possibly an earlier one of this claim whose reply was lost.
    this->StartStep(*entry, entry->phase, Step::kRead, this->last_call_at);
    return;
  }
  if (entry->phase != Phase::kClaiming) {
    this->entries.erase(attempt);
    return;
  }
  entry->expected_version = result.version;
  this->ReportDecision(attempt, {ClaimDecision::kRun, std::nullopt});
}

void ClaimStore::OnRead(AttemptId attempt, std::uint64_t operation_id, const TableRow& row) {
  Entry* const entry = this->Find(attempt, operation_id);
  if (entry == nullptr) {
    return;
  }
  entry->consecutive_failures = 0;
  if (entry->phase == Phase::kClaiming) {
    this->OnReadWhileClaiming(attempt, row);
    return;
  }
  const auto stored_row = row.version == 0 ? std::nullopt : ParseClaimRow(row.value);
  const bool own_claim =
      stored_row && stored_row->attempt == attempt && stored_row->state == ClaimState::kClaimed;
  // While releasing a claim that may still apply, the row must move past the version
  // that the claim was to replace, even if it is free now.
  const bool claim_may_still_apply =
      entry->phase == Phase::kReleasing && row.version == entry->expected_version;
  if (own_claim || claim_may_still_apply) {
    entry->expected_version = row.version;
    this->StartStep(*entry, entry->phase, Step::kWrite, this->last_call_at);
    return;
  }
  // An earlier write stored or released the row, or it was never claimed, or the table lost the
  // claim.
  const bool other_may_have_run = entry->phase == Phase::kCompleting && stored_row &&
                                  stored_row->attempt != attempt &&
                                  stored_row->state != ClaimState::kReleased;
  const ClaimKey key = std::move(entry->key);
  this->entries.erase(attempt);
  if (other_may_have_run) {
    this->on_claim_lost(key, attempt);
  }
}

void ClaimStore::OnReadWhileClaiming(AttemptId attempt, const TableRow& row) {
  Entry& entry = this->entries.at(attempt);
  if (row.version == 0) {
    this->StartStep(entry, Phase::kClaiming, Step::kWrite, this->last_call_at);
    return;
  }
  Findings findings;
  const auto stored_row = ParseClaimRow(row.value, findings);
  if (stored_row && stored_row->state == ClaimState::kReleased) {
    entry.expected_version = row.version;
    this->StartStep(entry, Phase::kClaiming, Step::kWrite, this->last_call_at);
    return;
  }
  if (stored_row && stored_row->state == ClaimState::kClaimed && stored_row->attempt == attempt) {
    entry.expected_version = row.version;
    this->ReportDecision(attempt, {ClaimDecision::kRun, std::nullopt});
    return;
  }
  if (!stored_row) {
    // A row in an unknown format never permits a run.
    this->on_invalid_row(entry.key, findings);
    this->ReportDecision(attempt, {ClaimDecision::kInProgressOrLost, std::nullopt});
  } else if (stored_row->fingerprint != entry.fingerprint) {
    this->ReportDecision(attempt, {ClaimDecision::kKeyReused, std::nullopt});
  } else if (stored_row->state == ClaimState::kClaimed) {
    this->ReportDecision(attempt, {ClaimDecision::kInProgressOrLost, std::nullopt});
  } else if (!stored_row->response->body) {
    this->ReportDecision(attempt, {ClaimDecision::kAlreadyRun, std::nullopt});
  } else {
    this->ReportDecision(attempt, {ClaimDecision::kReplay, stored_row->response});
  }
}

void ClaimStore::OnFailure(AttemptId attempt, std::uint64_t operation_id) {
  Entry* const entry = this->Find(attempt, operation_id);
  if (entry == nullptr) {
    return;
  }
  // Read the row to find out whether the write was applied.
  const Duration delay = std::min(
      kMinRetryDelay * (1 << std::min(entry->consecutive_failures, 10U)), this->max_retry_delay);
  ++entry->consecutive_failures;
  this->StartStep(*entry, entry->phase, Step::kRead, this->last_call_at + delay);
}

void ClaimStore::ReportDecision(AttemptId attempt, ClaimResult result) {
  Entry& entry = this->entries.at(attempt);
  const auto callback = std::move(entry.callback);
  if (result.decision == ClaimDecision::kRun) {
    this->StartStep(entry, Phase::kHeld, Step::kWaiting, this->last_call_at);
  } else if (result.decision == ClaimDecision::kTableUnavailable) {
    // The claim may have been applied or may still be applied.
    entry.consecutive_failures = 0;
    this->StartStep(entry, Phase::kReleasing, Step::kWrite, this->last_call_at);
  } else {
    this->entries.erase(attempt);
  }
  callback(result);
}

std::size_t ClaimStore::pending_writes() const {
  return static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& entry) { return entry.second.phase != Phase::kHeld; }));
}

}  // namespace pimentopin

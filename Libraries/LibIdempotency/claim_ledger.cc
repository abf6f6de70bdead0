#include "Libraries/LibIdempotency/claim_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Libraries/LibIdempotency/claim_row.h"

namespace pimentopin {
namespace {

constexpr Duration kMinRetry = std::chrono::milliseconds(50);
constexpr Duration kMaxRetry = std::chrono::seconds(5);
// The table's client answers within 2 s; a call without any answer is repeated.
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);

// The parts cannot contain the separator: names have no '/', and the key is last.
std::string RowKey(const ClaimKey& key) {
  return "claim/" + key.service + "/" + key.organisation + "/" + key.key;
}

}  // namespace

ClaimLedger::ClaimLedger(TableStore& store)
    : table(store), alive(std::make_shared<ClaimLedger*>(this)) {}

void ClaimLedger::Claim(TimePoint now,
                        const ClaimKey& key,
                        AttemptId claimant,
                        Fingerprint fingerprint,
                        std::function<void(const ClaimResult&)> callback) {
  this->latest = std::max(this->latest, now);
  if (this->entries.contains(claimant)) {
    callback({ClaimDecision::kInProgressOrLost, std::nullopt});
    return;
  }
  Entry& entry = this->entries[claimant];
  entry.row_key = RowKey(key);
  entry.fingerprint = fingerprint;
  entry.callback = std::move(callback);
  entry.started_at = now;
  this->Begin(entry, Phase::kClaiming, Step::kWrite, now);
}

void ClaimLedger::Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome) {
  this->latest = std::max(this->latest, now);
  const auto found = this->entries.find(claimant);
  if (found == this->entries.end() || found->second.phase != Phase::kHeld) {
    return;
  }
  if (outcome.body && outcome.body->size() > kMaxStoredBodyBytes) {
    outcome.body.reset();
  }
  found->second.outcome = std::move(outcome);
  this->Begin(found->second, Phase::kCompleting, Step::kWrite, now);
}

void ClaimLedger::Release(TimePoint now, AttemptId claimant) {
  this->latest = std::max(this->latest, now);
  const auto found = this->entries.find(claimant);
  if (found != this->entries.end() && found->second.phase == Phase::kHeld) {
    this->Begin(found->second, Phase::kReleasing, Step::kWrite, now);
  }
}

void ClaimLedger::Abandon(AttemptId claimant) {
  const auto found = this->entries.find(claimant);
  if (found != this->entries.end() && found->second.phase == Phase::kHeld) {
    this->entries.erase(found);
  }
}

void ClaimLedger::Begin(Entry& entry, Phase phase, Step step, TimePoint at) {
  entry.phase = phase;
  entry.step = step;
  entry.next_try = at;
  // Whatever is on its way belongs to an earlier step.
  ++entry.operation;
}

void ClaimLedger::Tick(TimePoint now) {
  this->latest = std::max(this->latest, now);
  std::vector<AttemptId> expired;
  std::vector<std::pair<AttemptId, std::uint64_t>> unanswered;
  for (const auto& [claimant, entry] : this->entries) {
    if (entry.phase == Phase::kClaiming && now - entry.started_at >= kClaimTimeout) {
      expired.push_back(claimant);
    } else if (entry.phase != Phase::kHeld && entry.step == Step::kWaiting &&
               now - entry.sent_at >= kAnswerTimeout) {
      unanswered.emplace_back(claimant, entry.operation);
    }
  }
  for (const AttemptId claimant : expired) {
    this->Decide(claimant, {ClaimDecision::kTableUnavailable, std::nullopt});
  }
  for (const auto& [claimant, operation] : unanswered) {
    this->OnFailure(claimant, operation);
  }
  this->SendWrites(now);
  std::vector<AttemptId> readers;
  for (const auto& [claimant, entry] : this->entries) {
    if (entry.phase != Phase::kHeld && entry.step == Step::kRead && entry.next_try <= now) {
      readers.push_back(claimant);
    }
  }
  // The table may answer during the call and change the entries.
  for (const AttemptId claimant : readers) {
    const auto found = this->entries.find(claimant);
    if (found != this->entries.end() && found->second.step == Step::kRead) {
      this->SendRead(now, claimant, found->second);
    }
  }
}

void ClaimLedger::SendWrites(TimePoint now) {
  using Sent = std::vector<std::pair<AttemptId, std::uint64_t>>;
  std::vector<std::pair<std::vector<ConditionalWrite>, Sent>> batches;
  std::size_t bytes = 0;
  for (auto& [claimant, entry] : this->entries) {
    if (entry.phase == Phase::kHeld || entry.step != Step::kWrite || entry.next_try > now) {
      continue;
    }
    std::string value = this->RowValue(claimant, entry);
    if (batches.empty() || batches.back().first.size() >= kMaxBatchWrites ||
        bytes + value.size() > kMaxBatchBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += value.size();
    entry.step = Step::kWaiting;
    entry.sent_at = now;
    batches.back().first.push_back({entry.row_key, entry.expected_version, std::move(value)});
    batches.back().second.emplace_back(claimant, entry.operation);
  }
  for (auto& [writes, sent] : batches) {
    this->table.Write(
        std::move(writes), [weak = std::weak_ptr(this->alive), sent = std::move(sent)](
                               std::optional<std::vector<WriteResult>> results, const Error&) {
          const auto ledger = weak.lock();
          for (std::size_t index = 0; ledger != nullptr && index < sent.size(); ++index) {
            const auto& [claimant, operation] = sent[index];
            if (results && results->size() == sent.size()) {
              (*ledger)->OnWritten(claimant, operation, (*results)[index]);
            } else {
              (*ledger)->OnFailure(claimant, operation);
            }
          }
        });
  }
}

void ClaimLedger::SendRead(TimePoint now, AttemptId claimant, Entry& entry) {
  entry.step = Step::kWaiting;
  entry.sent_at = now;
  this->table.Read(entry.row_key,
                   [weak = std::weak_ptr(this->alive), claimant, operation = entry.operation](
                       std::optional<TableRow> row, const Error&) {
                     const auto ledger = weak.lock();
                     if (ledger == nullptr) {
                       return;
                     }
                     if (row) {
                       (*ledger)->OnRow(claimant, operation, *row);
                     } else {
                       (*ledger)->OnFailure(claimant, operation);
                     }
                   });
}

std::string ClaimLedger::RowValue(AttemptId claimant, const Entry& entry) const {
  ClaimRow row{ClaimState::kClaimed, claimant, entry.fingerprint, std::nullopt};
  if (entry.phase == Phase::kReleasing) {
    row.state = ClaimState::kReleased;
  } else if (entry.phase == Phase::kCompleting) {
    row.state = ClaimState::kDone;
    row.outcome = entry.outcome;
  }
  return FormatClaimRow(row);
}

ClaimLedger::Entry* ClaimLedger::Find(AttemptId claimant, std::uint64_t operation) {
  const auto found = this->entries.find(claimant);
  const bool current = found != this->entries.end() && found->second.operation == operation &&
                       found->second.step == Step::kWaiting;
  return current ? &found->second : nullptr;
}

void ClaimLedger::OnWritten(AttemptId claimant,
                            std::uint64_t operation,
                            const WriteResult& result) {
  Entry* const entry = this->Find(claimant, operation);
  if (entry == nullptr) {
    return;
  }
  entry->failures = 0;
  if (!result.applied) {
    // Another write came first, possibly our own with a lost answer.
    this->Begin(*entry, entry->phase, Step::kRead, this->latest);
    return;
  }
  if (entry->phase != Phase::kClaiming) {
    this->entries.erase(claimant);
    return;
  }
  entry->expected_version = result.version;
  this->Decide(claimant, {ClaimDecision::kRun, std::nullopt});
}

void ClaimLedger::OnRow(AttemptId claimant, std::uint64_t operation, const TableRow& row) {
  Entry* const entry = this->Find(claimant, operation);
  if (entry == nullptr) {
    return;
  }
  entry->failures = 0;
  if (entry->phase == Phase::kClaiming) {
    this->OnRowWhileClaiming(claimant, row);
    return;
  }
  const auto found = row.version == 0 ? std::nullopt : ParseClaimRow(row.value);
  const bool own_claim =
      found && found->attempt == claimant && found->state == ClaimState::kClaimed;
  // While releasing a claim that may still take effect, the row must move past
  // the version which the claim was to replace, even if it is free now.
  const bool may_still_be_claimed =
      entry->phase == Phase::kReleasing && row.version == entry->expected_version;
  if (own_claim || may_still_be_claimed) {
    entry->expected_version = row.version;
    this->Begin(*entry, entry->phase, Step::kWrite, this->latest);
    return;
  }
  // Stored or released by an earlier write, or never claimed.
  this->entries.erase(claimant);
}

void ClaimLedger::OnRowWhileClaiming(AttemptId claimant, const TableRow& row) {
  Entry& entry = this->entries.at(claimant);
  if (row.version == 0) {
    this->Begin(entry, Phase::kClaiming, Step::kWrite, this->latest);
    return;
  }
  const auto found = ParseClaimRow(row.value);
  if (found && found->state == ClaimState::kReleased) {
    entry.expected_version = row.version;
    this->Begin(entry, Phase::kClaiming, Step::kWrite, this->latest);
    return;
  }
  if (found && found->state == ClaimState::kClaimed && found->attempt == claimant) {
    entry.expected_version = row.version;
    this->Decide(claimant, {ClaimDecision::kRun, std::nullopt});
    return;
  }
  if (!found) {
    // A row of unknown form never permits a run.
    this->Decide(claimant, {ClaimDecision::kInProgressOrLost, std::nullopt});
  } else if (found->fingerprint != entry.fingerprint) {
    this->Decide(claimant, {ClaimDecision::kKeyReused, std::nullopt});
  } else if (found->state == ClaimState::kClaimed) {
    this->Decide(claimant, {ClaimDecision::kInProgressOrLost, std::nullopt});
  } else if (!found->outcome->body) {
    this->Decide(claimant, {ClaimDecision::kAlreadyRun, std::nullopt});
  } else {
    this->Decide(claimant, {ClaimDecision::kReplay, found->outcome});
  }
}

void ClaimLedger::OnFailure(AttemptId claimant, std::uint64_t operation) {
  Entry* const entry = this->Find(claimant, operation);
  if (entry == nullptr) {
    return;
  }
  // Whether a write took effect shows in the row.
  const Duration delay = std::min(kMinRetry * (1 << std::min(entry->failures, 10U)), kMaxRetry);
  ++entry->failures;
  this->Begin(*entry, entry->phase, Step::kRead, this->latest + delay);
}

void ClaimLedger::Decide(AttemptId claimant, ClaimResult result) {
  Entry& entry = this->entries.at(claimant);
  const auto callback = std::move(entry.callback);
  if (result.decision == ClaimDecision::kRun) {
    this->Begin(entry, Phase::kHeld, Step::kWaiting, this->latest);
  } else if (result.decision == ClaimDecision::kTableUnavailable) {
    // The claim may have taken effect, or may still do so.
    entry.failures = 0;
    this->Begin(entry, Phase::kReleasing, Step::kWrite, this->latest);
  } else {
    this->entries.erase(claimant);
  }
  callback(result);
}

std::size_t ClaimLedger::pending_writes() const {
  return static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& entry) { return entry.second.phase != Phase::kHeld; }));
}

}  // namespace pimentopin

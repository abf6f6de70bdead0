#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Libraries/LibIdempotency/claim_ledger.h"
#include "Libraries/LibIdempotency/claim_record.h"
#include "Libraries/LibIdempotency/claim_row.h"
#include "Libraries/LibIdempotency/write_batch.h"

namespace pimentopin {

// State and decisions of a ClaimLedger. Shared, so that answers of the table
// that arrive after the ledger is destroyed find it gone or closed.
class ClaimProcessor : public std::enable_shared_from_this<ClaimProcessor> {
 public:
  using Callback = std::function<void(const ClaimResult&)>;

  static constexpr Duration kClaimTimeout = std::chrono::seconds(1);
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kLastBackoff = std::chrono::seconds(5);
  // Above the 2 s time-out of the HTTP table, so that it only replaces answers that never come.
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(10);
  // Bounds the releases that pile up while the table is down; further claims are refused unsent.
  static constexpr std::size_t kMaxPendingWrites = 4096;

  explicit ClaimProcessor(TableStore& table) : table(table) {}

  void Claim(TimePoint now,
             const ClaimKey& key,
             AttemptId claimant,
             Fingerprint fingerprint,
             Callback callback);
  void Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome);
  void Release(TimePoint now, AttemptId claimant);
  void Abandon(AttemptId claimant);
  void Tick(TimePoint now);
  std::size_t pending_writes() const;
  // No table call and no callback follows.
  void Close();

 private:
  ClaimRecord* FindHeld(AttemptId attempt);
  ClaimRecord* FindOperation(const WriteBatch::Origin& origin);

  void QueueWrite(AttemptId attempt, ClaimRecord& record);
  void SendQueuedWrites();
  void SendBatch(const WriteBatch& batch);
  void SendRead(AttemptId attempt, ClaimRecord& record);
  void WaitForRetry(ClaimRecord& record);
  void Retry(AttemptId attempt, ClaimRecord& record);

  void OnBatchAnswer(const std::vector<WriteBatch::Origin>& origins,
                     const std::optional<std::vector<WriteResult>>& results,
                     const Error& error);
  void OnWriteResult(AttemptId attempt, ClaimRecord& record, const WriteResult& result);
  void OnWriteFailure(AttemptId attempt, ClaimRecord& record, const Error& error);
  void OnReadAnswer(const WriteBatch::Origin& origin, const std::optional<TableRow>& row);

  void ResolveClaim(AttemptId attempt, ClaimRecord& record, const TableRow& row);
  void ResolveCompletion(AttemptId attempt, ClaimRecord& record, const TableRow& row);
  void ResolveRelease(AttemptId attempt, ClaimRecord& record, const TableRow& row);

  void Hold(ClaimRecord& record, std::uint64_t version);
  void Decide(AttemptId attempt, ClaimResult result);
  void TimeOutClaims();
  void TimeOutClaim(AttemptId attempt, ClaimRecord& record);
  void StartRelease(AttemptId attempt, ClaimRecord& record);
  void DeliverRefusals();

  TableStore& table;
  TimePoint now;
  bool closed = false;
  std::uint64_t last_operation = 0;
  std::map<AttemptId, ClaimRecord> records;
  std::vector<WriteBatch::Origin> queue;
  // Claims refused without a record; answered by the next Tick.
  std::vector<std::pair<Callback, ClaimResult>> refusals;
};

}  // namespace pimentopin

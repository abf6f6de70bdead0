#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibHost/configuration_source.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibPlatform/table_store.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

enum class CommitStatus {
  // The table is known to hold the revision.
  kCommitted,
  // Another change holds the revision, or the base revision does not exist.
  kConflict,
  // Nothing was written to the table.
  kNotCommitted,
  // The table may or may not hold the change; query it by change id.
  kUnknown,
};

struct CommitResult {
  CommitStatus status = CommitStatus::kUnknown;
  // The committed document; with kConflict the document that holds the revision, if it is
  // known.
  std::optional<ConfigurationDocument> document;
  std::string message;

  friend bool operator==(const CommitResult&, const CommitResult&) = default;
};

// Configuration revisions in the platform's store. Revision N exists once row
// configuration/revisions/N exists. The row contains the id of the change, whose document
// is the object configuration/changes/<change id>. Rows are created once and never
// modified, so creating the row is the commit. Row configuration/current is a hint for
// hosts that start and may lag behind. Runs on the control thread.
class ConfigurationStore : public ConfigurationSource {
 public:
  using CommitCallback = std::function<void(const CommitResult&)>;
  // Runs a function on the control thread after a delay.
  using DelayedExecutor = std::function<void(std::function<void()>)>;

  // `schedule_retry` delays a retry after an error of the table.
  ConfigurationStore(TableStore& table, ObjectStore& objects, DelayedExecutor schedule_retry);

  // Commits `document` as revision base_revision + 1. Committing the same change again with
  // the same change id returns the same result.
  void Commit(ConfigurationDocument document, CommitCallback callback);
  // Reads the newest committed document above `known_revision`.
  void ReadNewest(std::uint64_t known_revision, bool may_wait, DocumentCallback callback) override;
  // Reads the document of a change. No value if the change was not committed.
  void FindChange(const std::string& change_id, DocumentCallback callback);

 private:
  struct CommitState;
  struct ScanState;

  void CheckBase(const std::shared_ptr<CommitState>& state);
  void StoreObject(const std::shared_ptr<CommitState>& state);
  void CreateRow(const std::shared_ptr<CommitState>& state);
  void ResolveWrite(const std::shared_ptr<CommitState>& state);
  // `reason` is reported if no attempt is left.
  void RetryCreateRow(const std::shared_ptr<CommitState>& state, const std::string& reason);
  void ReportConflict(const std::shared_ptr<CommitState>& state, const std::string& change_id);
  void ReportCommitted(const std::shared_ptr<CommitState>& state);
  void AdvanceHint(std::uint64_t revision);

  void ScanRevisions(const std::shared_ptr<ScanState>& state);
  void ReadDocument(std::uint64_t revision,
                    const std::string& change_id,
                    DocumentCallback callback);

  TableStore& table;
  ObjectStore& objects;
  DelayedExecutor schedule_retry;
};

}  // namespace pimentopin

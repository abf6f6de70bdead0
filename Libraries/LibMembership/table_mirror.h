#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Local copy of one table of the platform's store.
class TableMirror {
 public:
  // Returns false if the difference between two values of a row is irrelevant to
  // the hosts, for example only a newer heartbeat.
  using IsRelevantChange = std::function<bool(const std::string& before, const std::string& after)>;

  explicit TableMirror(IsRelevantChange is_relevant_change);

  // Applies a listing of the whole table. Rows that it lacks count as removed.
  // Returns the relevant changes.
  std::vector<FeedRow> ApplyListing(TimePoint now, const FeedBatch& batch);
  // Applies the changes since read_version. Returns the relevant ones.
  std::vector<FeedRow> ApplyChanges(TimePoint now, const FeedBatch& batch);
  // Keeps rows that are removed before `until` for at least that long, as their
  // owners may write them again.
  void DeferRemovals(TimePoint until);
  // Applies the deferred removals once their time has passed, and returns them.
  // Call it after a read, so that rows that were written again are known.
  std::vector<FeedRow> ApplyDeferredRemovals(TimePoint now);

  // Records that all changes up to this version are known.
  void RaiseContentVersion(std::uint64_t known) {
    this->last_change_version = std::max(this->last_change_version, known);
  }

  // True once the table has been listed.
  bool loaded() const { return this->is_loaded; }
  // Version after which changes have to be read.
  std::uint64_t read_version() const { return this->last_read_version; }
  // Version of the last relevant change.
  std::uint64_t content_version() const { return this->last_change_version; }
  std::vector<FeedRow> Rows() const;
  // 0 if there is no such row.
  std::uint64_t RowVersion(const std::string& key) const;

 private:
  // Returns the row if the change is relevant.
  std::optional<FeedRow> Apply(TimePoint now, const FeedRow& row);

  IsRelevantChange is_relevant_change;
  std::map<std::string, FeedRow> rows;
  // Removals that wait for `defer_until`, by key.
  std::map<std::string, FeedRow> deferred_removals;
  TimePoint defer_until;
  std::uint64_t last_read_version = 0;
  std::uint64_t last_change_version = 0;
  bool is_loaded = false;
};

}  // namespace pimentopin

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Local copy of one table of the platform's store. It has exactly the rows of its version: hosts
// compare versions, so a change that were missing in one copy would be missing in all.
class TableMirror {
 public:
  // Returns false if the difference between two values of a row is irrelevant to
  // the hosts, for example only a newer heartbeat.
  using IsRelevantChange = std::function<bool(const std::string& before, const std::string& after)>;

  explicit TableMirror(IsRelevantChange is_relevant_change);

  // Applies a listing of the whole table. Rows that it lacks count as removed.
  // Returns the relevant changes.
  std::vector<FeedRow> ApplyListing(const FeedBatch& batch);
  // Applies the changes since read_version. Returns the relevant ones.
  std::vector<FeedRow> ApplyChanges(const FeedBatch& batch);

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
  std::optional<FeedRow> Apply(const FeedRow& row);

  IsRelevantChange is_relevant_change;
  std::map<std::string, FeedRow> rows;
  std::uint64_t last_read_version = 0;
  std::uint64_t last_change_version = 0;
  bool is_loaded = false;
};

}  // namespace pimentopin

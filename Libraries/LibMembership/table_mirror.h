#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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

  // Makes the next newer version of the row a relevant change, whatever it contains.
  void ReportNextWrite(const std::string& key) { this->reported_keys.insert(key); }
  // Records that all changes up to this version are known.
  void RaiseContentVersion(const StoreVersion& known) {
    this->last_change_version = std::max(this->last_change_version, known);
  }

  // True once the table has been listed.
  bool loaded() const { return this->is_loaded; }
  // Version after which changes have to be read.
  const StoreVersion& read_version() const { return this->last_read_version; }
  // True if a version is of a later era of the store than the rows.
  bool IsOfLaterEra(const StoreVersion& version) const {
    return !this->last_read_version.is_zero() && version.era > this->last_read_version.era;
  }
  // True if a version is of an era that had ended when the rows were read.
  bool IsOfEarlierEra(const StoreVersion& version) const {
    return version.era < this->last_read_version.era;
  }
  // Version of the last relevant change.
  const StoreVersion& content_version() const { return this->last_change_version; }
  std::vector<FeedRow> Rows() const;
  // Zero if there is no such row.
  StoreVersion RowVersion(const std::string& key) const;

 private:
  // Returns the row if the change is relevant.
  std::optional<FeedRow> Apply(const FeedRow& row);

  IsRelevantChange is_relevant_change;
  std::map<std::string, FeedRow> rows;
  // Rows whose next newer version is reported.
  std::set<std::string> reported_keys;
  StoreVersion last_read_version;
  StoreVersion last_change_version;
  bool is_loaded = false;
};

}  // namespace pimentopin

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
  // False if a change of a row's value from one to the other means nothing to
  // this product, for example a heartbeat.
  using IsChange = std::function<bool(const std::string& before, const std::string& after)>;

  explicit TableMirror(IsChange is_change);

  // All rows of the table. Returns the rows that changed; those that are
  // missing from the listing count as removed.
  std::vector<FeedRow> ApplyListing(TimePoint now, const FeedBatch& batch);
  // Changes since read_version. Returns those that mean something.
  std::vector<FeedRow> ApplyChanges(TimePoint now, const FeedBatch& batch);
  // Rows that disappear before `until` are kept until then, as their owners may
  // write them again.
  void HoldRemovals(TimePoint until);
  // Carries out removals that are due; returns the rows. Call after a read, so
  // that rows that were written again are known.
  std::vector<FeedRow> ReleaseRemovals(TimePoint now);

  // All changes up to this version are known.
  void RaiseContentVersion(std::uint64_t known) {
    this->last_change = std::max(this->last_change, known);
  }

  // The table has been listed at least once.
  bool loaded() const { return this->is_loaded; }
  // Version from which on changes have to be read.
  std::uint64_t read_version() const { return this->version; }
  // Version of the last change that ApplyListing or ApplyChanges returned.
  std::uint64_t content_version() const { return this->last_change; }
  std::vector<FeedRow> Rows() const;
  // 0 if there is no such row.
  std::uint64_t RowVersion(const std::string& key) const;

 private:
  // Null if the change means nothing.
  std::optional<FeedRow> Apply(TimePoint now, const FeedRow& row);

  IsChange is_change;
  std::map<std::string, FeedRow> rows;
  // Rows whose removal is held back.
  std::map<std::string, FeedRow> held;
  TimePoint hold_until;
  std::uint64_t version = 0;
  std::uint64_t last_change = 0;
  bool is_loaded = false;
};

}  // namespace pimentopin

#include "Libraries/LibMembership/table_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace pimentopin {

TableMirror::TableMirror(IsRelevantChange is_relevant_change)
    : is_relevant_change(std::move(is_relevant_change)) {}

std::vector<FeedRow> TableMirror::ApplyListing(const FeedBatch& batch) {
  FeedBatch with_removals = batch;
  std::set<std::string_view> listed;
  for (const FeedRow& row : batch.rows) {
    listed.insert(row.key);
  }
  for (const auto& [key, row] : this->rows) {
    if (!listed.contains(key)) {
      with_removals.rows.push_back({.key = key, .version = batch.version, .removed = true});
    }
  }
  this->is_loaded = true;
  return this->ApplyChanges(with_removals);
}

std::vector<FeedRow> TableMirror::ApplyChanges(const FeedBatch& batch) {
  std::vector<FeedRow> changed;
  for (const FeedRow& row : batch.rows) {
    if (auto change = this->Apply(row)) {
      changed.push_back(std::move(*change));
    }
  }
  this->last_read_version = std::max(this->last_read_version, batch.version);
  if (!changed.empty()) {
    this->last_change_version = std::max(this->last_change_version, batch.version);
  }
  return changed;
}

std::optional<FeedRow> TableMirror::Apply(const FeedRow& row) {
  const auto known = this->rows.find(row.key);
  if (known != this->rows.end() && known->second.version >= row.version) {
    return std::nullopt;
  }
  if (known == this->rows.end() && row.version <= this->last_read_version) {
    // All rows up to this version are known, so this one has been removed since.
    return std::nullopt;
  }
  const bool is_reported = this->reported_keys.erase(row.key) > 0;
  if (!row.removed) {
    const bool relevant = is_reported || known == this->rows.end() || known->second.value.empty() ||
                          this->is_relevant_change(known->second.value, row.value);
    this->rows[row.key] = row;
    return relevant ? std::optional(row) : std::nullopt;
  }
  if (known == this->rows.end()) {
    return std::nullopt;
  }
  this->rows.erase(known);
  return row;
}

std::vector<FeedRow> TableMirror::Rows() const {
  std::vector<FeedRow> all;
  for (const auto& [key, row] : this->rows) {
    all.push_back(row);
  }
  return all;
}

StoreVersion TableMirror::RowVersion(const std::string& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? StoreVersion() : found->second.version;
}

}  // namespace pimentopin

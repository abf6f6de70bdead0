#include "Libraries/LibMembership/table_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace pimentopin {

TableMirror::TableMirror(IsRelevantChange is_relevant_change)
    : is_relevant_change(std::move(is_relevant_change)) {}

std::vector<FeedRow> TableMirror::ApplyListing(TimePoint now, const FeedBatch& batch) {
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
  return this->ApplyChanges(now, with_removals);
}

std::vector<FeedRow> TableMirror::ApplyChanges(TimePoint now, const FeedBatch& batch) {
  std::vector<FeedRow> changed;
  for (const FeedRow& row : batch.rows) {
    if (auto change = this->Apply(now, row)) {
      changed.push_back(std::move(*change));
    }
  }
  this->last_read_version = std::max(this->last_read_version, batch.version);
  if (!changed.empty()) {
    this->last_change_version = std::max(this->last_change_version, batch.version);
  }
  return changed;
}

std::optional<FeedRow> TableMirror::Apply(TimePoint now, const FeedRow& row) {
  const auto known = this->rows.find(row.key);
  if (known != this->rows.end() && known->second.version >= row.version) {
    return std::nullopt;
  }
  if (!row.removed) {
    this->deferred_removals.erase(row.key);
    const bool relevant = known == this->rows.end() || known->second.value.empty() ||
                          this->is_relevant_change(known->second.value, row.value);
    this->rows[row.key] = row;
    return relevant ? std::optional(row) : std::nullopt;
  }
  if (known == this->rows.end()) {
    return std::nullopt;
  }
  if (now < this->defer_until) {
    this->deferred_removals.emplace(row.key, row);
    return std::nullopt;
  }
  this->deferred_removals.erase(row.key);
  this->rows.erase(known);
  return row;
}

void TableMirror::DeferRemovals(TimePoint until) {
  this->defer_until = std::max(this->defer_until, until);
}

std::vector<FeedRow> TableMirror::ApplyDeferredRemovals(TimePoint now) {
  if (now < this->defer_until) {
    return {};
  }
  std::vector<FeedRow> removed;
  for (const auto& [key, row] : std::exchange(this->deferred_removals, {})) {
    this->rows.erase(key);
    this->last_change_version = std::max(this->last_change_version, this->last_read_version);
    removed.push_back(row);
  }
  return removed;
}

std::vector<FeedRow> TableMirror::Rows() const {
  std::vector<FeedRow> all;
  for (const auto& [key, row] : this->rows) {
    all.push_back(row);
  }
  return all;
}

std::uint64_t TableMirror::RowVersion(const std::string& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? 0 : found->second.version;
}

}  // namespace pimentopin

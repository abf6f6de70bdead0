#include "Libraries/LibMembership/deferred_removals.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

void DeferredRemovals::DeferUntil(TimePoint new_until) {
  this->until = std::max(this->until, new_until);
}

std::vector<FeedRow> DeferredRemovals::Filter(TimePoint now, std::vector<FeedRow> changes) {
  std::vector<FeedRow> effective;
  for (FeedRow& row : changes) {
    this->removals.erase(row.key);
    if (row.removed && now < this->until) {
      this->removals.emplace(row.key, std::move(row));
    } else {
      effective.push_back(std::move(row));
    }
  }
  return effective;
}

std::vector<FeedRow> DeferredRemovals::TakeDue(TimePoint now,
                                               std::optional<TimePoint> confirmed_at) {
  std::vector<FeedRow> due;
  if (now < this->NextDeadline(confirmed_at)) {
    return due;
  }
  for (auto& [key, row] : std::exchange(this->removals, {})) {
    due.push_back(std::move(row));
  }
  return due;
}

TimePoint DeferredRemovals::NextDeadline(std::optional<TimePoint> confirmed_at) const {
  // Without a read since then, the rows may have been written again.
  const bool is_confirmed = confirmed_at && *confirmed_at + kConfirmationTolerance >= this->until;
  return this->removals.empty() || !is_confirmed ? TimePoint::max() : this->until;
}

std::optional<TimePoint> DeferredRemovals::waiting_until() const {
  return this->removals.empty() ? std::nullopt : std::optional(this->until);
}

}  // namespace pimentopin

#include "Libraries/LibMembership/returned_rows.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

std::vector<std::string> ReturnedRows::Withhold(
    TimePoint now,
    const std::function<bool(const FeedRow&)>& needs_confirmation,
    std::vector<FeedRow>& changes) {
  std::vector<std::string> keys;
  std::vector<FeedRow> effective;
  for (FeedRow& row : changes) {
    if (row.removed || !needs_confirmation(row)) {
      effective.push_back(std::move(row));
      continue;
    }
    keys.push_back(row.key);
    this->rows[keys.back()] = {.row = std::move(row), .due = now + kTimeout};
  }
  changes = std::move(effective);
  return keys;
}

void ReturnedRows::Confirm(const std::vector<FeedRow>& changes) {
  for (const FeedRow& row : changes) {
    this->rows.erase(row.key);
  }
}

std::vector<FeedRow> ReturnedRows::TakeDue(TimePoint now) {
  std::vector<FeedRow> due;
  std::erase_if(this->rows, [&](auto& entry) {
    const bool is_due = entry.second.due <= now;
    if (is_due) {
      due.push_back(std::move(entry.second.row));
    }
    return is_due;
  });
  return due;
}

TimePoint ReturnedRows::NextDeadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, withheld] : this->rows) {
    next = std::min(next, withheld.due);
  }
  return next;
}

}  // namespace pimentopin

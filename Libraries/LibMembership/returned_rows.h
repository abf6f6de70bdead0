#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Keeps the rows of a store that has come back from an older copy from taking effect until their
// owners have written them again. A row that differs from what this host knew may be as old as the
// copy: that of a target that has left, for example.
class ReturnedRows {
 public:
  // Rows whose owners are gone are removed from the store before this time has passed.
  static constexpr Duration kTimeout = std::chrono::seconds(10);

  // Takes the rows for which `needs_confirmation` returns true out of `changes`, which the first
  // listing since the return has brought. Returns their keys.
  std::vector<std::string> Withhold(TimePoint now,
                                    const std::function<bool(const FeedRow&)>& needs_confirmation,
                                    std::vector<FeedRow>& changes);
  // These rows have been written or removed since.
  void Confirm(const std::vector<FeedRow>& changes);
  // Returns the rows that are in the store although nobody has confirmed them in time.
  std::vector<FeedRow> TakeDue(TimePoint now);
  // Time from which TakeDue returns rows; TimePoint::max() if none are withheld.
  TimePoint NextDeadline() const;

 private:
  struct Withheld {
    FeedRow row;
    TimePoint due;
  };
  std::map<std::string, Withheld> rows;
};

}  // namespace pimentopin

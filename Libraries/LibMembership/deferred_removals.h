#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Decides when a host acts on the removals of a table's rows. After an outage of the store they
// wait, as the owners of rows that expired meanwhile write them again.
class DeferredRemovals {
 public:
  // A view of the store that was confirmed this long before the end of the waiting time confirms
  // the removals. Allows for the transit of the reader's digest.
  static constexpr Duration kConfirmationTolerance = std::chrono::milliseconds(100);

  // Makes all removals wait until `until`, those that wait already included.
  void DeferUntil(TimePoint until);
  // Returns the changes to act on now and keeps the removals that have to wait. A row that was
  // written again is not removed.
  std::vector<FeedRow> Filter(TimePoint now, std::vector<FeedRow> changes);
  // Returns the removals that have waited, if the view of the store was confirmed since.
  std::vector<FeedRow> TakeDue(TimePoint now, std::optional<TimePoint> confirmed_at);
  // Time from which TakeDue returns removals; TimePoint::max() if there are none or the view is not
  // confirmed.
  TimePoint NextDeadline(std::optional<TimePoint> confirmed_at) const;
  // Time until which removals wait; empty if none does.
  std::optional<TimePoint> waiting_until() const;

 private:
  TimePoint until;
  // The waiting removals by key.
  std::map<std::string, FeedRow> removals;
};

}  // namespace pimentopin

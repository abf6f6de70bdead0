#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/store_version.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Row of a table from a listing or from the change feed.
struct FeedRow {
  // Key without the table name.
  std::string key;
  StoreVersion version;
  std::string value;
  bool removed = false;

  friend bool operator==(const FeedRow&, const FeedRow&) = default;
};

struct FeedBatch {
  std::vector<FeedRow> rows;
  // Store version up to which the rows are complete.
  StoreVersion version;
  // Time of the store at which the rows were complete, if it stated one.
  std::optional<StoreTimePoint> store_time;

  friend bool operator==(const FeedBatch&, const FeedBatch&) = default;
};

// Lists and watches the platform's tables. Callbacks run on the control thread and receive no batch
// and an Error if the call failed.
class RowFeed {
 public:
  using Callback = std::function<void(std::optional<FeedBatch>, const Error&)>;

  virtual ~RowFeed() = default;
  // Lists all rows of the table.
  virtual void List(const std::string& table, Callback callback) = 0;
  // Reports the rows changed after `version`, in order of their versions. Waits up to `wait` for
  // the first change. ErrorCode::kNotFound means that the store does not have the history since
  // `version`, or is in another era, and the table must be listed again.
  virtual void Changes(const std::string& table,
                       const StoreVersion& version,
                       Duration wait,
                       Callback callback) = 0;
};

}  // namespace pimentopin

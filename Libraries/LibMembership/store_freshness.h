#pragma once

#include <cstddef>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Bounds the age of what a host knows of the store: decides when the host asks other hosts whether
// something is newer, and when it reads the store itself because none of them confirms its view.
class StoreFreshness {
 public:
  // An older view is stale. Confirmations normally arrive more often, so that a stale host has
  // missed some.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1000);
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(200);
  // Number of unanswered queries after which the host reads the store.
  static constexpr std::size_t kQueriesBeforeRead = 2;
  // Interval of further queries and reads. It doubles while the store does not answer.
  static constexpr Duration kMinRetryInterval = kQueryInterval;
  static constexpr Duration kMaxRetryInterval = std::chrono::seconds(8);

  // Records that the view was current at `at`, as known from the reads of `reader`.
  void Confirm(TimePoint at, HostId reader);
  // Records that the store did not answer this host or one that was asked.
  void RecordOutage(TimePoint now);
  // True if the host should ask another one now. Counts as the query.
  bool TakeQuery(TimePoint now);

  // Empty before the first confirmation.
  std::optional<TimePoint> confirmed_at() const { return this->last_confirmed_at; }
  // The host whose reads confirmed the view last.
  HostId reader() const { return this->last_reader; }
  // Time from which this host reads the store itself.
  TimePoint ReadableFrom() const;
  // Time of the next query; TimePoint::max() before the first confirmation.
  TimePoint NextDeadline() const;

 private:
  std::optional<TimePoint> last_confirmed_at;
  HostId last_reader{};
  std::size_t query_count = 0;
  TimePoint next_query;
  TimePoint next_read;
  Duration retry_interval = kMinRetryInterval;
};

}  // namespace pimentopin

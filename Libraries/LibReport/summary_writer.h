#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibReport/summary.h"

namespace pimentopin {

// Writes summaries to the object store, one at a time in order, and queues them
// while the store is unavailable. Use only on the control thread.
class SummaryWriter {
 public:
  // One hour of periods. Beyond it, the two oldest summaries are merged, so that a
  // longer outage reduces the resolution in time but loses no counts.
  static constexpr std::size_t kMaxPendingWrites = 60;
  static constexpr Duration kRetryInterval = std::chrono::seconds(5);
  // The same while the host waits for the writes in order to end.
  static constexpr Duration kFlushRetryInterval = std::chrono::milliseconds(100);

  // Receives each summary that is discarded because no two could be merged.
  using DropHandler = std::function<void(const HostSummary&)>;

  // The store must outlive the writer.
  explicit SummaryWriter(ObjectStore& object_store, DropHandler on_dropped = nullptr);

  void Add(HostSummary summary);
  // Call every 100 ms. Starts to write the oldest summary unless a write is in
  // progress or a failed one was started less than kRetryInterval ago.
  void Tick(TimePoint now) { this->Write(now, kRetryInterval); }
  // Call instead of Tick, as often as possible, until the host ends.
  void Flush(TimePoint now) { this->Write(now, kFlushRetryInterval); }

  // Number of summaries that are not yet stored; zero before a clean exit.
  std::size_t pending_writes() const { return this->state->summaries.size(); }
  const Error& last_error() const { return this->state->last_error; }

 private:
  // Shared with the callback of a write, which may outlive the writer.
  struct State {
    std::deque<HostSummary> summaries;
    bool is_writing = false;
    // A write of the first summary was started. Even if it failed, the summary may
    // be stored, so its key and content must not change, or it could be counted
    // twice.
    bool first_write_started = false;
    bool last_write_failed = false;
    TimePoint last_write_started_at;
    Error last_error;
  };

  void Write(TimePoint now, Duration retry_interval);
  void MergeOldest();

  ObjectStore& store;
  const DropHandler on_dropped;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace pimentopin

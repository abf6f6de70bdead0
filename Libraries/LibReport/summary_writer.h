#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibReport/summary.h"

namespace pimentopin {

// Writes summaries to the object store, one after the other, and keeps them
// while it is down. Runs on the control thread.
class SummaryWriter {
 public:
  // One hour of periods. Beyond it the oldest two are joined into one, so that
  // an outage of hours costs resolution in time, but no counts.
  static constexpr std::size_t kMaxUnwritten = 60;
  static constexpr Duration kRetryInterval = std::chrono::seconds(5);

  // The store must outlive the writer.
  explicit SummaryWriter(ObjectStore& object_store);

  void Add(HostSummary summary);
  // Call every 100 ms. Writes the oldest summary unless a write is running or
  // the last one failed less than kRetryInterval ago.
  void Tick(TimePoint now);

  // Zero before a clean exit.
  std::size_t unwritten() const { return this->state->summaries.size(); }
  // Summaries given up because no two could be joined.
  std::uint64_t dropped() const { return this->state->dropped; }
  const Error& last_error() const { return this->state->last_error; }

 private:
  // Shared with the callback, which may come after the writer is gone.
  struct State {
    std::deque<HostSummary> summaries;
    bool is_writing = false;
    // The first summary may be stored although the write seemed to fail. It
    // must keep its key and content, or it could be counted twice.
    bool first_was_sent = false;
    bool last_failed = false;
    TimePoint last_start;
    std::uint64_t dropped = 0;
    Error last_error;
  };

  static void JoinOldest(State& state);

  ObjectStore& store;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace pimentopin

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin::bench {

// Event loop in virtual time. Runs events in order of time; events at the same
// time run in the order in which they were scheduled.
class EventQueue {
 public:
  void ScheduleAt(TimePoint at, std::function<void()> callback) {
    this->events.push({std::max(at, this->time), this->next_sequence++, std::move(callback)});
  }
  void ScheduleAfter(Duration delay, std::function<void()> callback) {
    this->ScheduleAt(this->time + delay, std::move(callback));
  }
  void RunUntil(TimePoint end);
  TimePoint now() const { return this->time; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.sequence) < std::pair(this->at, this->sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t next_sequence = 0;
  // Starts after the epoch, which the dispatch and health code reads as "never".
  TimePoint time{std::chrono::hours(1)};
};

}  // namespace pimentopin::bench

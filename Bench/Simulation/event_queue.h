#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin::bench {

// Virtual time: runs events in order of time, then of insertion.
class EventQueue {
 public:
  void At(TimePoint at, std::function<void()> run) {
    this->events.push({std::max(at, this->time), this->next_order++, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    this->At(this->time + delay, std::move(run));
  }
  void RunUntil(TimePoint end);
  TimePoint now() const { return this->time; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(this->at, this->order);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t next_order = 0;
  // Decision code takes the epoch for "never", so runs begin later.
  TimePoint time{std::chrono::hours(1)};
};

}  // namespace pimentopin::bench

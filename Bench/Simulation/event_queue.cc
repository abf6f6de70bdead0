#include "Bench/Simulation/event_queue.h"

namespace pimentopin::bench {

void EventQueue::RunUntil(TimePoint end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    // Moving from the top element is safe: until it is popped, only its time and
    // sequence number are read.
    std::function<void()> callback = std::move(const_cast<Event&>(this->events.top()).callback);
    this->time = this->events.top().at;
    this->events.pop();
    callback();
  }
  this->time = std::max(this->time, end);
}

}  // namespace pimentopin::bench

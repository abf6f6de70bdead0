#include "Bench/Simulation/event_queue.h"

namespace pimentopin::bench {

void EventQueue::RunUntil(TimePoint end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    // The element is removed next; only its order key is read until then.
    std::function<void()> run = std::move(const_cast<Event&>(this->events.top()).run);
    this->time = this->events.top().at;
    this->events.pop();
    run();
  }
  this->time = std::max(this->time, end);
}

}  // namespace pimentopin::bench

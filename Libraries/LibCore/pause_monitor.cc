#include "Libraries/LibCore/pause_monitor.h"

#include <algorithm>

namespace pimentopin {

void PauseMonitor::Tick(TimePoint now) {
  const Duration pause = this->last_tick ? now - *this->last_tick - this->interval : Duration();
  this->last_tick = now;
  if (now - this->window_start >= kWindow) {
    this->window_start = now;
    this->window_pauses = {Duration::zero(), this->window_pauses.front()};
  }
  this->window_pauses.front() = std::max(this->window_pauses.front(), pause);
  this->longest_pause = std::ranges::max(this->window_pauses);
}

}  // namespace pimentopin

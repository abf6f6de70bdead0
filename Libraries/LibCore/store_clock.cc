#include "Libraries/LibCore/store_clock.h"

#include <ctime>

#include <algorithm>

namespace pimentopin {

BootTimePoint BootNow() {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

void StoreClock::Observe(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store) {
  // The store read its clock after the call was sent and before the response arrived.
  const Duration latest = at_store.time_since_epoch() - sent.time_since_epoch();
  const Duration earliest = at_store.time_since_epoch() - answered.time_since_epoch();
  const bool contradicts =
      this->latest_offset && (earliest > *this->latest_offset || latest < *this->earliest_offset);
  if (!this->latest_offset || contradicts) {
    this->latest_offset = latest;
    this->earliest_offset = earliest;
    return;
  }
  this->latest_offset = std::min(*this->latest_offset, latest);
  this->earliest_offset = std::max(*this->earliest_offset, earliest);
}

std::optional<StoreTimePoint> StoreClock::Latest(BootTimePoint now) const {
  return this->latest_offset
             ? std::optional(StoreTimePoint(now.time_since_epoch() + *this->latest_offset))
             : std::nullopt;
}

std::optional<StoreTimePoint> StoreClock::Earliest(BootTimePoint now) const {
  return this->earliest_offset
             ? std::optional(StoreTimePoint(now.time_since_epoch() + *this->earliest_offset))
             : std::nullopt;
}

}  // namespace pimentopin

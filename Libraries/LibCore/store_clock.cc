#include "Libraries/LibCore/store_clock.h"

#include <ctime>

#include <algorithm>

namespace pimentopin {
namespace {

// Two clocks drift apart by at most one part in this many. Clocks of machines are within 200 parts
// in a million of each other.
constexpr int kDriftDivisor = 5000;
// The store states its time in rounded fractions of a second.
constexpr Duration kResolution = std::chrono::milliseconds(20);

}  // namespace

BootTimePoint BootNow() {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

bool StoreClock::Observe(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store) {
  // The store read its clock after the call was sent and before the response arrived.
  const Duration latest = at_store.time_since_epoch() - sent.time_since_epoch();
  const Duration earliest = at_store.time_since_epoch() - answered.time_since_epoch();
  if (!this->last_answer) {
    this->latest_offset = latest;
    this->earliest_offset = earliest;
    this->last_answer = answered;
    return true;
  }
  const Duration drift = this->Drift(answered);
  const Duration latest_before = *this->latest_offset + drift;
  const Duration earliest_before = *this->earliest_offset - drift;
  const bool jumped =
      earliest > latest_before + kResolution || latest < earliest_before - kResolution;
  this->latest_offset = jumped ? latest : std::min(latest_before, latest);
  this->earliest_offset = jumped ? earliest : std::max(earliest_before, earliest);
  this->last_answer = std::max(*this->last_answer, answered);
  return !jumped;
}

Duration StoreClock::Drift(BootTimePoint now) const {
  return std::max(Duration::zero(), now - *this->last_answer) / kDriftDivisor;
}

std::optional<StoreTimePoint> StoreClock::Latest(BootTimePoint now) const {
  if (!this->last_answer) {
    return std::nullopt;
  }
  return StoreTimePoint(now.time_since_epoch() + *this->latest_offset + this->Drift(now));
}

std::optional<StoreTimePoint> StoreClock::Earliest(BootTimePoint now) const {
  if (!this->last_answer) {
    return std::nullopt;
  }
  return StoreTimePoint(now.time_since_epoch() + *this->earliest_offset - this->Drift(now));
}

}  // namespace pimentopin

#include "Libraries/LibDispatch/long_work_share.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Time constant of the exponential decay. Long requests are about 2 % of all;
// at 300 requests/s, a shorter time includes too few of them for a stable
// share.
constexpr double kDecayTimeUs = 20e6;
// Avoids the cost of an exponential function per request.
constexpr Duration kMinDecayInterval = std::chrono::milliseconds(100);

}  // namespace

void LongWorkShare::Decay(TimePoint now) {
  const Duration elapsed = now - this->decayed_at;
  if (elapsed < kMinDecayInterval) {
    return;
  }
  const double factor = std::exp(-static_cast<double>(elapsed.count()) / kDecayTimeUs);
  this->short_work_us *= factor;
  this->long_work_us *= factor;
  this->decayed_at = now;
}

void LongWorkShare::RecordArrival(TimePoint now,
                                  WorkClass work_class,
                                  Duration expected_service_time) {
  this->Decay(now);
  double& work = work_class == WorkClass::kShort ? this->short_work_us : this->long_work_us;
  work += static_cast<double>(expected_service_time.count());
}

double LongWorkShare::share() const {
  const double total = this->short_work_us + this->long_work_us;
  return total > 0 ? this->long_work_us / total : 0;
}

std::uint32_t LongWorkShare::Limit(std::uint32_t usable_slots) const {
  const std::uint32_t max_limit = std::max<std::uint32_t>(usable_slots, 2) - 1;
  const double desired_limit = std::ceil(this->share() * this->headroom * usable_slots);
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(desired_limit), 1, max_limit);
}

}  // namespace pimentopin

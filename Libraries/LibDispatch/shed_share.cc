#include "Libraries/LibDispatch/shed_share.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Weight of one request in the average.
constexpr double kWeight = 0.25;
constexpr double kDecayTimeS = 2.0;

}  // namespace

double ShedShare::At(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - this->updated_at));
  return this->share > 0 ? this->share * std::exp(-age / kDecayTimeS) : 0;
}

void ShedShare::Record(TimePoint now, bool shed) {
  if (!shed && this->share == 0) {
    return;
  }
  this->share = this->At(now) * (1 - kWeight) + (shed ? kWeight : 0);
  this->updated_at = now;
}

}  // namespace pimentopin

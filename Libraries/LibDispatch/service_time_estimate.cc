#include "Libraries/LibDispatch/service_time_estimate.h"

#include <algorithm>

namespace pimentopin {
namespace {

// With fewer samples, admission control reacts to single slow requests.
constexpr std::size_t kAveragedSamples = 100;

}  // namespace

void ServiceTimeEstimate::Observe(WorkClass work_class, Duration service_time) {
  Average& average = work_class == WorkClass::kShort ? this->short_work : this->long_work;
  average.samples = std::min(average.samples + 1, kAveragedSamples);
  average.mean_us += (static_cast<double>(service_time.count()) - average.mean_us) /
                     static_cast<double>(average.samples);
}

Duration ServiceTimeEstimate::Mean(WorkClass work_class) const {
  const Average& average = work_class == WorkClass::kShort ? this->short_work : this->long_work;
  return Duration(static_cast<Duration::rep>(average.mean_us));
}

Duration ServiceTimeEstimate::PredictedWait(WorkClass work_class,
                                            std::size_t ahead,
                                            std::size_t slots) const {
  return this->Mean(work_class) * static_cast<Duration::rep>(ahead) /
         static_cast<Duration::rep>(std::max<std::size_t>(slots, 1));
}

}  // namespace pimentopin

#include "Libraries/LibDispatch/service_time_estimate.h"

#include <algorithm>

namespace pimentopin {
namespace {

// With fewer samples, admission control reacts to single slow requests.
constexpr std::size_t kAveragedSamples = 100;

}  // namespace

void ServiceTimeEstimate::Average::Add(Duration service_time) {
  this->samples = std::min(this->samples + 1, kAveragedSamples);
  this->mean_us += (static_cast<double>(service_time.count()) - this->mean_us) /
                   static_cast<double>(this->samples);
}

void ServiceTimeEstimate::Observe(WorkClass work_class, RequestKind kind, Duration service_time) {
  (work_class == WorkClass::kShort ? this->short_work : this->long_work).Add(service_time);
  if (kind != RequestKind{} && (this->kinds.size() < kMaxKinds || this->kinds.contains(kind))) {
    this->kinds[kind].Add(service_time);
  }
}

Duration ServiceTimeEstimate::Mean(WorkClass work_class) const {
  const Average& average = work_class == WorkClass::kShort ? this->short_work : this->long_work;
  return Duration(static_cast<Duration::rep>(average.mean_us));
}

Duration ServiceTimeEstimate::Mean(WorkClass work_class, RequestKind kind) const {
  const Duration class_mean = this->Mean(work_class);
  if (kind == RequestKind{}) {
    return class_mean;
  }
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) {
    return this->kinds.size() < kMaxKinds ? Duration::zero() : class_mean;
  }
  // A kind whose requests are all refused gets no sample that could correct its mean, while the
  // class follows what is served.
  return std::min(class_mean, Duration(static_cast<Duration::rep>(found->second.mean_us)));
}

Duration ServiceTimeEstimate::PredictedWait(WorkClass work_class,
                                            std::size_t ahead,
                                            std::size_t slots) const {
  return this->Mean(work_class) * static_cast<Duration::rep>(ahead) /
         static_cast<Duration::rep>(std::max<std::size_t>(slots, 1));
}

}  // namespace pimentopin

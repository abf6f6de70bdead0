#include "Libraries/LibDispatch/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Lower bound of the second bucket. Each bucket is sqrt(2) times as wide as the one below; the last
// one begins at about two minutes.
constexpr double kSmallestWorkUs = 1000.0;
constexpr double kBucketsPerDoubling = 2.0;
// Samples after which an older one counts 1/e.
constexpr double kMemory = 200.0;
// With fewer samples, the mean of a key says less than that of its kind.
constexpr double kMinSamples = 20.0;
// Weight of the assumption that work which has outlasted all samples is half done.
constexpr double kUnseenTailWeight = 0.5;

double BucketStartUs(std::size_t bucket) {
  return bucket == 0
             ? 0.0
             : kSmallestWorkUs * std::exp2(static_cast<double>(bucket - 1) / kBucketsPerDoubling);
}

}  // namespace

std::size_t WorkHistogram::BucketOf(double work_us) {
  if (work_us < kSmallestWorkUs) {
    return 0;
  }
  const double position = std::log2(work_us / kSmallestWorkUs) * kBucketsPerDoubling + 1.0;
  return std::min(static_cast<std::size_t>(position), kBuckets - 1);
}

void WorkHistogram::Add(Duration work) {
  const double work_us = std::max(0.0, static_cast<double>(work.count()));
  const std::size_t bucket = BucketOf(work_us);
  constexpr double kKept = 1.0 - 1.0 / kMemory;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const bool includes_sample = index <= bucket;
    this->counts[index] = this->counts[index] * kKept + (includes_sample ? 1.0 : 0.0);
    this->sums_us[index] = this->sums_us[index] * kKept + (includes_sample ? work_us : 0.0);
  }
}

Duration WorkHistogram::Mean() const {
  return this->counts[0] > 0 ? FromMicroseconds(this->sums_us[0] / this->counts[0])
                             : Duration::zero();
}

Duration WorkHistogram::Rest(Duration age) const {
  if (age <= Duration::zero()) {
    return this->Mean();
  }
  const auto age_us = static_cast<double>(age.count());
  const std::size_t bucket = BucketOf(age_us);
  // Samples that outlasted `age`; those of its own bucket are assumed to be spread evenly.
  double count = kUnseenTailWeight;
  double sum_us = kUnseenTailWeight * 2.0 * age_us;
  if (bucket + 1 < kBuckets) {
    const double start_us = BucketStartUs(bucket);
    const double end_us = BucketStartUs(bucket + 1);
    const double longer = (this->counts[bucket] - this->counts[bucket + 1]) *
                          std::clamp((end_us - age_us) / (end_us - start_us), 0.0, 1.0);
    count += this->counts[bucket + 1] + longer;
    sum_us += this->sums_us[bucket + 1] + longer * (age_us + end_us) / 2.0;
  }
  return FromMicroseconds(std::max(0.0, sum_us / count - age_us));
}

WorkHistogram& WorkEstimate::Pool::FindOrAdd(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) {
    this->order.splice(this->order.begin(), this->order, found->second.position);
    return found->second.histogram;
  }
  if (this->entries.size() >= this->capacity) {
    this->entries.erase(this->order.back());
    this->order.pop_back();
  }
  this->order.push_front(id);
  return this->entries.emplace(id, Entry{.position = this->order.begin()}).first->second.histogram;
}

const WorkHistogram* WorkEstimate::Pool::FindKnown(std::uint64_t id) const {
  const auto found = this->entries.find(id);
  return found != this->entries.end() && found->second.histogram.samples() >= kMinSamples
             ? &found->second.histogram
             : nullptr;
}

void WorkEstimate::Observe(const WorkTraits& traits, Duration work) {
  (traits.work_class == WorkClass::kLong ? this->long_work : this->short_work).Add(work);
  if (traits.kind != RequestKind{}) {
    this->kinds.FindOrAdd(static_cast<std::uint64_t>(traits.kind)).Add(work);
  }
  if (traits.key != WorkKey{}) {
    this->keys.FindOrAdd(static_cast<std::uint64_t>(traits.key)).Add(work);
  }
}

const WorkHistogram& WorkEstimate::HistogramOf(const WorkTraits& traits) const {
  if (const WorkHistogram* known = this->keys.FindKnown(static_cast<std::uint64_t>(traits.key))) {
    return *known;
  }
  if (const WorkHistogram* known = this->kinds.FindKnown(static_cast<std::uint64_t>(traits.kind))) {
    return *known;
  }
  return traits.work_class == WorkClass::kLong ? this->long_work : this->short_work;
}

Duration WorkEstimate::Mean(const WorkTraits& traits) const {
  return this->HistogramOf(traits).Mean();
}

Duration WorkEstimate::Rest(const WorkTraits& traits, Duration age) const {
  return this->HistogramOf(traits).Rest(age);
}

}  // namespace pimentopin

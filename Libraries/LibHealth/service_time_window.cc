#include "Libraries/LibHealth/service_time_window.h"

#include <algorithm>

namespace pimentopin {
namespace {

constexpr Duration kMaxAge = std::chrono::minutes(10);

}  // namespace

void ServiceTimeWindow::Add(TimePoint now, double log_time) {
  this->samples[this->next_index] = log_time;
  this->next_index = (this->next_index + 1) % kCapacity;
  this->count = std::min(this->count + 1, kCapacity);
  this->last_sample = now;
  this->cached_median = this->Quantile(0.5);
}

bool ServiceTimeWindow::usable(TimePoint now) const {
  return this->count > 0 && now - this->last_sample <= kMaxAge;
}

double ServiceTimeWindow::LogP90ToMedian() const {
  return this->Quantile(0.9) - this->cached_median;
}

void ServiceTimeWindow::AppendNewest(std::size_t limit, std::vector<double>& newest) const {
  const std::size_t sample_count = std::min(limit, this->count);
  for (std::size_t age = 1; age <= sample_count; ++age) {
    newest.push_back(this->samples[(this->next_index + kCapacity - age) % kCapacity]);
  }
}

double ServiceTimeWindow::Quantile(double probability) const {
  std::array<double, kCapacity> sorted = this->samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
  const auto rank =
      static_cast<std::ptrdiff_t>(probability * static_cast<double>(this->count - 1) + 0.5);
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  return *(sorted.begin() + rank);
}

}  // namespace pimentopin

#include "Libraries/LibHealth/service_time_window.h"

#include <algorithm>

namespace pimentopin {
namespace {

constexpr Duration kMaximumAge = std::chrono::minutes(10);

}  // namespace

void ServiceTimeWindow::Add(TimePoint now, double log_time) {
  this->samples[this->next] = log_time;
  this->next = (this->next + 1) % kCapacity;
  this->count = std::min(this->count + 1, kCapacity);
  this->last_sample = now;
  this->cached_median = this->Quantile(0.5);
}

bool ServiceTimeWindow::usable(TimePoint now) const {
  return this->count > 0 && now - this->last_sample <= kMaximumAge;
}

double ServiceTimeWindow::UpperSpread() const {
  return this->Quantile(0.9) - this->cached_median;
}

void ServiceTimeWindow::AppendNewest(std::size_t limit, std::vector<double>& newest) const {
  const std::size_t number = std::min(limit, this->count);
  for (std::size_t back = 1; back <= number; ++back) {
    newest.push_back(this->samples[(this->next + kCapacity - back) % kCapacity]);
  }
}

double ServiceTimeWindow::Quantile(double share) const {
  std::array<double, kCapacity> sorted = this->samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
  const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(this->count - 1) + 0.5);
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  return *(sorted.begin() + rank);
}

}  // namespace pimentopin

#pragma once

#include <algorithm>
#include <cstddef>

namespace pimentopin {

// Exponentially weighted failure rate over a short and a long horizon.
class FailureRate {
 public:
  void Add(bool failed) {
    const double value = failed ? 1.0 : 0.0;
    this->recent_rate += kRecentWeight * (value - this->recent_rate);
    this->base_rate += kBaseWeight * (value - this->base_rate);
    this->observed = true;
  }

  bool has_samples() const { return this->observed; }
  // Rate over about 10 outcomes; follows a fault that affects all targets at once.
  double recent() const { return this->recent_rate; }
  // Maximum of the rates over about 10 and 200 outcomes. The long horizon keeps a
  // random run of successes from hiding the usual rate.
  double reference() const { return std::max(this->recent_rate, this->base_rate); }

 private:
  static constexpr double kRecentWeight = 0.1;
  static constexpr double kBaseWeight = 0.005;

  double recent_rate = 0.0;
  double base_rate = 0.0;
  bool observed = false;
};

}  // namespace pimentopin

#include "Bench/Simulation/workload.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentopin::bench {

Workload::Workload(EventQueue& event_queue,
                   WorkloadSettings workload_settings,
                   std::uint64_t seed,
                   Sink arrival_sink)
    : events(event_queue),
      settings(std::move(workload_settings)),
      random(seed),
      sink(std::move(arrival_sink)) {}

double Workload::RateFor(double load,
                         std::uint32_t slots,
                         Duration service_time,
                         double long_share,
                         double long_factor) {
  const double mean_seconds =
      static_cast<double>(service_time.count()) / 1e6 * (1.0 + long_share * (long_factor - 1.0));
  return load * static_cast<double>(slots) / mean_seconds;
}

void Workload::Start() {
  this->start = this->events.now();
  this->ScheduleNext();
}

double Workload::RateAt(Duration elapsed, Duration& until) const {
  double factor = 1.0;
  until = this->settings.duration;
  for (const DemandStep& step : this->settings.steps) {
    if (step.at > elapsed) {
      until = std::min(until, step.at);
      break;
    }
    factor = step.factor;
  }
  return factor * this->settings.requests_per_second;
}

void Workload::ScheduleNext() {
  Duration elapsed = this->events.now() - this->start;
  while (elapsed < this->settings.duration) {
    Duration until{};
    const double rate = this->RateAt(elapsed, until);
    const double gap = rate > 0.0 ? -std::log(1.0 - this->random.Unit()) * 1e6 / rate : 1e18;
    // Exponential gaps have no memory, so a step starts a new draw.
    if (gap < static_cast<double>((until - elapsed).count())) {
      this->events.At(this->start + elapsed + Duration(static_cast<Duration::rep>(gap)),
                      [this] { this->Arrive(); });
      return;
    }
    elapsed = until;
  }
}

void Workload::Arrive() {
  double total = 0.0;
  for (const WorkloadOrganisation& organisation : this->settings.organisations) {
    total += organisation.weight;
  }
  double draw = this->random.Unit() * total;
  OrganisationId chosen = this->settings.organisations.back().organisation;
  for (const WorkloadOrganisation& organisation : this->settings.organisations) {
    draw -= organisation.weight;
    if (draw < 0.0) {
      chosen = organisation.organisation;
      break;
    }
  }
  const bool is_long = this->random.Unit() < this->settings.long_share;
  const bool idempotent = this->random.Unit() < this->settings.idempotent_share;
  this->sink({.service = this->settings.service,
              .organisation = chosen,
              .work_class = is_long ? WorkClass::kLong : WorkClass::kShort,
              .idempotent = idempotent,
              .deadline = is_long ? this->settings.long_deadline : this->settings.short_deadline});
  this->ScheduleNext();
}

}  // namespace pimentopin::bench

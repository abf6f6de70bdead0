#include "Bench/Simulation/workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace pimentopin::bench {

Workload::Workload(EventQueue& event_queue,
                   WorkloadSettings workload_settings,
                   std::uint64_t seed,
                   ArrivalHook arrival_hook)
    : events(event_queue),
      settings(std::move(workload_settings)),
      random(seed),
      on_arrival(std::move(arrival_hook)) {}

double Workload::RateForLoad(double load,
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

double Workload::RateAt(Duration elapsed, Duration& rate_valid_until) const {
  double factor = 1.0;
  rate_valid_until = this->settings.duration;
  for (const DemandStep& step : this->settings.steps) {
    if (step.at > elapsed) {
      rate_valid_until = std::min(rate_valid_until, step.at);
      break;
    }
    factor = step.factor;
  }
  return factor * this->settings.requests_per_second;
}

void Workload::ScheduleNext() {
  Duration elapsed = this->events.now() - this->start;
  while (elapsed < this->settings.duration) {
    Duration rate_valid_until{};
    const double rate = this->RateAt(elapsed, rate_valid_until);
    const double gap_us = rate > 0.0 ? -std::log(1.0 - this->random.Unit()) * 1e6 / rate : 1e18;
    // Exponential gaps are memoryless, so a new gap may be drawn at each rate change.
    if (gap_us < static_cast<double>((rate_valid_until - elapsed).count())) {
      this->events.ScheduleAt(this->start + elapsed + Duration(static_cast<Duration::rep>(gap_us)),
                              [this] { this->EmitArrival(); });
      return;
    }
    elapsed = rate_valid_until;
  }
}

void Workload::EmitArrival() {
  double total_weight = 0.0;
  for (const WorkloadOrganisation& organisation : this->settings.organisations) {
    total_weight += organisation.weight;
  }
  double remaining_weight = this->random.Unit() * total_weight;
  OrganisationId chosen_organisation = this->settings.organisations.back().organisation;
  for (const WorkloadOrganisation& organisation : this->settings.organisations) {
    remaining_weight -= organisation.weight;
    if (remaining_weight < 0.0) {
      chosen_organisation = organisation.organisation;
      break;
    }
  }
  WorkloadArrival arrival{.service = this->settings.service, .organisation = chosen_organisation};
  if (!this->settings.kinds.empty()) {
    arrival.idempotent = this->random.Unit() < this->settings.idempotent_share;
    this->SetKind(arrival);
    this->on_arrival(arrival);
    this->ScheduleNext();
    return;
  }
  const bool is_long = this->random.Unit() < this->settings.long_share;
  const bool idempotent = this->random.Unit() < this->settings.idempotent_share;
  arrival.work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
  arrival.idempotent = idempotent;
  arrival.deadline = is_long ? this->settings.long_deadline : this->settings.short_deadline;
  this->on_arrival(arrival);
  this->ScheduleNext();
}

std::size_t Workload::DrawKind() {
  double total_weight = 0.0;
  for (const WorkloadKind& kind : this->settings.kinds) {
    total_weight += kind.weight;
  }
  double remaining = this->random.Unit() * total_weight;
  for (std::size_t index = 0; index < this->settings.kinds.size(); ++index) {
    remaining -= this->settings.kinds[index].weight;
    if (remaining < 0.0) {
      return index;
    }
  }
  return this->settings.kinds.size() - 1;
}

void Workload::SetKind(WorkloadArrival& arrival) {
  arrival.kind_index = this->DrawKind();
  // Drawn also without the shuffle, so that arrivals and work are the same with it.
  const std::size_t other = this->DrawKind();
  const WorkloadKind& kind = this->settings.kinds[arrival.kind_index];
  const WorkloadKind& named =
      this->settings.kinds[this->settings.shuffle_kinds ? other : arrival.kind_index];
  arrival.kind = named.kind;
  arrival.key = named.key;
  arrival.deadline = kind.deadline;
  const bool is_tail = this->random.Unit() < kind.tail_share;
  const double usual_factor = (1.0 - kind.tail_share * kind.tail_factor) / (1.0 - kind.tail_share);
  const double mean_us =
      static_cast<double>(kind.mean_work.count()) * (is_tail ? kind.tail_factor : usual_factor);
  const double radius = std::sqrt(-2.0 * std::log(1.0 - this->random.Unit()));
  const double normal = radius * std::cos(2.0 * std::numbers::pi * this->random.Unit());
  arrival.work =
      Duration(1 + static_cast<Duration::rep>(
                       mean_us * std::exp(kind.spread * normal - kind.spread * kind.spread / 2.0)));
}

}  // namespace pimentopin::bench

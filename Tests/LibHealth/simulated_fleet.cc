#include "Tests/LibHealth/simulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::seconds(3);
constexpr double kLongWorkFactor = 30.0;
// After this time, a fleet without a request rate looks for one again.
constexpr Duration kIdleInterval = std::chrono::milliseconds(1);

}  // namespace

SimulatedFleet::SimulatedFleet(std::size_t target_count,
                               std::uint32_t slots,
                               std::uint32_t floor,
                               std::uint64_t seed)
    : floor_slots(floor), now(std::chrono::hours(1)), random(seed), request_counts(target_count) {
  for (std::size_t index = 0; index < target_count; ++index) {
    SimulatedTarget target;
    target.target = TargetId{1000 + index};
    target.slots = slots;
    this->targets.push_back(target);
  }
  this->next_tick = this->now;
  this->next_probe = this->now;
  this->next_arrival = this->now;
  this->Configure();
}

void SimulatedFleet::Configure() {
  std::vector<HealthTarget> configured;
  for (const SimulatedTarget& target : this->targets) {
    configured.push_back({target.target, target.slots, target.leaving});
  }
  this->health.Configure(this->now, configured, this->floor_slots);
}

void SimulatedFleet::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  while (true) {
    TimePoint next = std::min(this->next_tick, this->next_arrival);
    if (!this->completions.empty()) {
      next = std::min(next, this->completions.top().at);
    }
    if (next >= end) {
      this->now = end;
      return;
    }
    this->now = next;
    if (!this->completions.empty() && this->completions.top().at == next) {
      const Completion completion = this->completions.top();
      this->completions.pop();
      if (!completion.observation.is_probe) {
        --this->targets[completion.index].busy;
      }
      this->health.Observe(this->now, completion.observation);
    } else if (this->next_arrival == next) {
      this->StartRequest();
    } else {
      this->next_tick += kTickInterval;
      this->health.Tick(this->now);
      if (this->probes && this->now >= this->next_probe) {
        this->next_probe = this->now + kProbeInterval;
        this->SendProbes();
      }
      if (this->after_tick) {
        this->after_tick();
      }
    }
    for (const HealthEvent& event : this->health.TakeEvents()) {
      this->events.push_back(event);
    }
  }
}

Duration SimulatedFleet::RunUntilEjected(std::size_t index, Duration limit) {
  const TimePoint start = this->now;
  while (this->now - start < limit) {
    this->Run(std::chrono::milliseconds(10));
    if (this->Status(index).state == TargetState::kEjected) {
      return this->now - start;
    }
  }
  return limit;
}

HealthStatus SimulatedFleet::Status(std::size_t index) const {
  return this->health.Status(this->targets[index].target);
}

std::size_t SimulatedFleet::CountEvents(HealthEventKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(this->events.begin(), this->events.end(),
                    [kind](const HealthEvent& event) { return event.kind == kind; }));
}

std::uint32_t SimulatedFleet::UsableSlots() const {
  std::uint32_t total = 0;
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    total += this->Status(index).usable_slots;
  }
  return total;
}

void SimulatedFleet::StartRequest() {
  std::uint32_t slots = 0;
  for (const SimulatedTarget& target : this->targets) {
    slots += target.leaving ? 0 : target.slots;
  }
  const double mean_seconds =
      static_cast<double>(this->mean_service_time.count()) / 1e6 * (1.0 + 29.0 * this->long_share);
  const double rate = this->requests_per_second > 0.0 ? this->requests_per_second
                                                      : this->load * slots / mean_seconds;
  if (rate <= 0.0) {
    // The time to the next request is infinite and has no value as a Duration.
    this->next_arrival += kIdleInterval;
    return;
  }
  this->next_arrival +=
      std::max(Duration(1), Duration(static_cast<Duration::rep>(this->Exponential(1e6 / rate))));

  const std::size_t host = this->random.Below(kHosts);
  std::vector<std::size_t> free_targets;
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    const HealthStatus status = this->Status(index);
    const bool reachable = std::count(status.unreachable_from_domains.begin(),
                                      status.unreachable_from_domains.end(), Domain(host)) == 0 &&
                           std::count(status.unreachable_from_hosts.begin(),
                                      status.unreachable_from_hosts.end(), Host(host)) == 0;
    if (reachable && this->targets[index].busy < status.usable_slots) {
      free_targets.push_back(index);
    }
  }
  if (free_targets.empty()) {
    return;
  }
  const std::size_t index = free_targets[this->random.Below(free_targets.size())];
  SimulatedTarget& target = this->targets[index];
  ++target.busy;
  ++this->request_counts[index];

  HealthObservation observation;
  observation.target = target.target;
  observation.reporter = Host(host);
  observation.reporter_domain = Domain(host);
  observation.fingerprint = Fingerprint{this->random.Next()};
  const bool is_long = this->random.Unit() < this->long_share;
  observation.work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
  const double mean = static_cast<double>(this->mean_service_time.count()) * target.slow_factor *
                      this->common_slow_factor * (is_long ? kLongWorkFactor : 1.0);
  observation.service_time = Duration(static_cast<Duration::rep>(this->Exponential(mean)) + 100);
  const double draw = this->random.Unit();
  const double error_rate = target.error_rate + this->common_error_rate;
  if (draw < error_rate) {
    observation.result = AttemptResult::kServerError;
  } else if (draw < error_rate + target.wrong_rate) {
    observation.result = AttemptResult::kWrongAnswer;
  }
  if (target.down || target.unreachable_from_domains.contains(Domain(host)) ||
      target.unreachable_from_hosts.contains(Host(host))) {
    observation.result = AttemptResult::kConnectFailure;
    observation.service_time = std::chrono::milliseconds(1);
  } else if (observation.service_time > this->deadline ||
             this->random.Unit() < target.timeout_rate) {
    observation.result = AttemptResult::kTimeout;
    observation.service_time = this->deadline;
  }
  this->completions.push(
      {this->now + observation.service_time, this->next_sequence++, index, observation});
}

void SimulatedFleet::SendProbes() {
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      const SimulatedTarget& target = this->targets[index];
      HealthObservation observation;
      observation.target = target.target;
      observation.reporter = Host(domain);
      observation.reporter_domain = Domain(domain);
      observation.is_probe = true;
      observation.service_time = std::chrono::milliseconds(25);
      if (target.down || target.unreachable_from_domains.contains(Domain(domain))) {
        observation.result = AttemptResult::kConnectFailure;
      } else if (!this->probes_succeed) {
        observation.result = AttemptResult::kServerError;
      }
      this->completions.push(
          {this->now + observation.service_time, this->next_sequence++, index, observation});
    }
  }
}

double SimulatedFleet::Exponential(double mean) {
  return -mean * std::log(1.0 - this->random.Unit());
}

}  // namespace pimentopin

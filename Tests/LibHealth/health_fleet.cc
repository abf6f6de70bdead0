#include "Tests/LibHealth/health_fleet.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::seconds(3);
constexpr double kLongFactor = 30.0;

}  // namespace

HealthFleet::HealthFleet(std::size_t target_count,
                         std::uint32_t slots,
                         std::uint32_t floor,
                         std::uint64_t seed)
    : floor_slots(floor), now(std::chrono::hours(1)), random(seed), started(target_count) {
  for (std::size_t index = 0; index < target_count; ++index) {
    FleetTarget target;
    target.target = TargetId{1000 + index};
    target.slots = slots;
    this->targets.push_back(target);
  }
  this->next_tick = this->now;
  this->next_probe = this->now;
  this->next_arrival = this->now;
  this->Configure();
}

void HealthFleet::Configure() {
  std::vector<HealthTarget> configured;
  for (const FleetTarget& target : this->targets) {
    configured.push_back({target.target, target.slots, target.leaving});
  }
  this->health.Configure(this->now, configured, this->floor_slots);
}

void HealthFleet::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  while (true) {
    TimePoint next = std::min(this->next_tick, this->next_arrival);
    if (!this->endings.empty()) {
      next = std::min(next, this->endings.top().at);
    }
    if (next >= end) {
      this->now = end;
      return;
    }
    this->now = next;
    if (!this->endings.empty() && this->endings.top().at == next) {
      const Ending ending = this->endings.top();
      this->endings.pop();
      if (!ending.evidence.is_probe) {
        --this->targets[ending.index].busy;
      }
      this->health.Observe(this->now, ending.evidence);
    } else if (this->next_arrival == next) {
      this->Arrive();
    } else {
      this->next_tick += kTick;
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

Duration HealthFleet::RunUntilEjected(std::size_t index, Duration limit) {
  const TimePoint start = this->now;
  while (this->now - start < limit) {
    this->Run(std::chrono::milliseconds(10));
    if (this->Verdict(index).state == TargetState::kEjected) {
      return this->now - start;
    }
  }
  return limit;
}

HealthVerdict HealthFleet::Verdict(std::size_t index) const {
  return this->health.Verdict(this->targets[index].target);
}

std::size_t HealthFleet::CountEvents(HealthEventKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(this->events.begin(), this->events.end(),
                    [kind](const HealthEvent& event) { return event.kind == kind; }));
}

std::uint32_t HealthFleet::UsableSlots() const {
  std::uint32_t total = 0;
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    total += this->Verdict(index).usable_slots;
  }
  return total;
}

void HealthFleet::Arrive() {
  std::uint32_t slots = 0;
  for (const FleetTarget& target : this->targets) {
    slots += target.leaving ? 0 : target.slots;
  }
  const double mean_seconds =
      static_cast<double>(this->mean_service_time.count()) / 1e6 * (1.0 + 29.0 * this->long_share);
  const double rate = this->requests_per_second > 0.0 ? this->requests_per_second
                                                      : this->load * slots / mean_seconds;
  this->next_arrival +=
      std::max(Duration(1), Duration(static_cast<Duration::rep>(this->Exponential(1e6 / rate))));

  const std::size_t host = this->random.Below(kHosts);
  std::vector<std::size_t> free;
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    const HealthVerdict verdict = this->Verdict(index);
    const bool reachable = std::count(verdict.unreachable_from.begin(),
                                      verdict.unreachable_from.end(), Domain(host)) == 0 &&
                           std::count(verdict.unreachable_hosts.begin(),
                                      verdict.unreachable_hosts.end(), Host(host)) == 0;
    if (reachable && this->targets[index].busy < verdict.usable_slots) {
      free.push_back(index);
    }
  }
  if (free.empty()) {
    return;
  }
  const std::size_t index = free[this->random.Below(free.size())];
  FleetTarget& target = this->targets[index];
  ++target.busy;
  ++this->started[index];

  HealthEvidence evidence;
  evidence.target = target.target;
  evidence.reporter = Host(host);
  evidence.reporter_domain = Domain(host);
  evidence.fingerprint = Fingerprint{this->random.Next()};
  const bool is_long = this->random.Unit() < this->long_share;
  evidence.work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
  const double mean = static_cast<double>(this->mean_service_time.count()) * target.slow_factor *
                      this->common_slow_factor * (is_long ? kLongFactor : 1.0);
  evidence.service_time = Duration(static_cast<Duration::rep>(this->Exponential(mean)) + 100);
  const double draw = this->random.Unit();
  const double error_rate = target.error_rate + this->common_error_rate;
  if (draw < error_rate) {
    evidence.result = AttemptResult::kServerError;
  } else if (draw < error_rate + target.wrong_rate) {
    evidence.result = AttemptResult::kWrongAnswer;
  }
  if (target.down || target.deaf_to_domains.contains(Domain(host)) ||
      target.deaf_to_hosts.contains(Host(host))) {
    evidence.result = AttemptResult::kConnectFailure;
    evidence.service_time = std::chrono::milliseconds(1);
  } else if (evidence.service_time > this->deadline || this->random.Unit() < target.timeout_rate) {
    evidence.result = AttemptResult::kTimeout;
    evidence.service_time = this->deadline;
  }
  this->endings.push({this->now + evidence.service_time, this->next_sequence++, index, evidence});
}

void HealthFleet::SendProbes() {
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      const FleetTarget& target = this->targets[index];
      HealthEvidence evidence;
      evidence.target = target.target;
      evidence.reporter = Host(domain);
      evidence.reporter_domain = Domain(domain);
      evidence.is_probe = true;
      evidence.service_time = std::chrono::milliseconds(25);
      if (target.down || target.deaf_to_domains.contains(Domain(domain))) {
        evidence.result = AttemptResult::kConnectFailure;
      } else if (!this->probes_succeed) {
        evidence.result = AttemptResult::kServerError;
      }
      this->endings.push(
          {this->now + evidence.service_time, this->next_sequence++, index, evidence});
    }
  }
}

double HealthFleet::Exponential(double mean) {
  return -mean * std::log(1.0 - this->random.Unit());
}

}  // namespace pimentopin

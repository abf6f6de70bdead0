#include "Bench/Simulation/fake_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentopin::bench {
namespace {

constexpr Duration kProbeTime = std::chrono::milliseconds(25);

}  // namespace

FakeTarget::FakeTarget(EventQueue& event_queue,
                       RandomSource random_source,
                       TargetModel target_model,
                       TargetId target_id,
                       DomainId target_domain,
                       std::uint32_t slots)
    : events(event_queue),
      random(std::move(random_source)),
      model(target_model),
      target(target_id),
      own_domain(target_domain),
      slot_count(slots) {}

void FakeTarget::Arrive(const TargetJob& job) {
  if (this->deadly.contains(job.fingerprint) && !job.is_probe) {
    this->on_run(job);
    this->Crash();
    this->on_answer(job, {.result = AttemptResult::kConnectionLost});
    return;
  }
  if (this->queue.size() >= this->model.shed_above) {
    this->on_answer(job, {.result = AttemptResult::kShed, .draining = this->draining});
    return;
  }
  this->queue.push_back(job);
  this->StartNext();
}

void FakeTarget::Cancel(AttemptId attempt) {
  std::erase_if(this->queue, [attempt](const TargetJob& job) { return job.attempt == attempt; });
  std::erase_if(this->running,
                [attempt](const auto& run) { return run.second.job.attempt == attempt; });
  this->StartNext();
}

void FakeTarget::Crash() {
  if (!this->running_process) {
    return;
  }
  this->running_process = false;
  std::vector<TargetJob> lost(this->queue.begin(), this->queue.end());
  for (const auto& [run, state] : this->running) {
    lost.push_back(state.job);
  }
  this->queue.clear();
  this->running.clear();
  for (const TargetJob& job : lost) {
    this->on_answer(job, {.result = AttemptResult::kConnectionLost});
  }
  this->events.After(this->model.restart_time, [this] {
    this->running_process = true;
    this->started_at = this->events.now();
  });
}

bool FakeTarget::Accepts(HostId host, DomainId from) const {
  return this->running_process && !this->fault.deaf_to_domains.contains(from) &&
         !this->fault.deaf_to_hosts.contains(host);
}

void FakeTarget::StartNext() {
  while (this->running.size() < this->slot_count && !this->queue.empty()) {
    const TargetJob job = this->queue.front();
    this->queue.pop_front();
    const std::uint64_t run = this->next_run++;
    this->running[run] = {job, this->events.now()};
    if (!job.is_probe) {
      this->on_run(job);
    }
    this->events.After(this->ServiceTime(job), [this, run] { this->Complete(run); });
  }
}

void FakeTarget::Complete(std::uint64_t run) {
  const auto position = this->running.find(run);
  if (position == this->running.end()) {
    return;
  }
  const TargetJob job = position->second.job;
  this->running.erase(position);
  this->on_answer(job, this->Answer(job));
  this->StartNext();
}

Duration FakeTarget::ServiceTime(const TargetJob& job) {
  if (job.is_probe) {
    return this->fault.lying_probes
               ? kProbeTime
               : Duration(static_cast<Duration::rep>(static_cast<double>(kProbeTime.count()) *
                                                     this->fault.slow_factor));
  }
  double mean = static_cast<double>(this->model.service_time.count()) * this->fault.slow_factor;
  if (job.work_class == WorkClass::kLong) {
    mean *= this->model.long_factor;
  }
  const Duration age = this->events.now() - this->started_at;
  if (age < this->model.cold_period) {
    const double warm =
        static_cast<double>(age.count()) / static_cast<double>(this->model.cold_period.count());
    mean *= this->model.cold_factor + (1.0 - this->model.cold_factor) * warm;
  }
  return Duration(1 + static_cast<Duration::rep>(-mean * std::log(1.0 - this->random.Unit())));
}

TargetAnswer FakeTarget::Answer(const TargetJob& job) {
  TargetAnswer answer{.draining = this->draining};
  if (job.is_probe && this->fault.lying_probes) {
    return answer;
  }
  const double draw = this->random.Unit();
  if (draw < this->fault.error_rate) {
    answer.result = AttemptResult::kServerError;
  } else if (draw < this->fault.error_rate + this->fault.wrong_rate) {
    answer.result = AttemptResult::kWrongAnswer;
    answer.wrong_in_header = this->random.Below(2) == 0;
  }
  return answer;
}

}  // namespace pimentopin::bench

#include "Bench/Simulation/simulated_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentopin::bench {
namespace {

constexpr Duration kProbeServiceTime = std::chrono::milliseconds(25);

}  // namespace

SimulatedTarget::SimulatedTarget(EventQueue& event_queue,
                                 RandomSource random_source,
                                 TargetModel target_model,
                                 TargetId target_id,
                                 DomainId target_domain,
                                 std::uint32_t slots)
    : events(event_queue),
      random(std::move(random_source)),
      model(target_model),
      target(target_id),
      target_domain_id(target_domain),
      slot_count(slots) {}

void SimulatedTarget::Submit(const TargetJob& job) {
  if (this->crash_fingerprints.contains(job.fingerprint) && !job.is_probe) {
    this->on_run(job);
    this->Crash();
    this->on_response(job, {.result = AttemptResult::kConnectionLost});
    return;
  }
  if (this->queue.size() >= this->model.shed_queue_length) {
    this->on_response(job, {.result = AttemptResult::kShed, .draining = this->draining});
    return;
  }
  this->queue.push_back(job);
  this->StartQueuedJobs();
}

void SimulatedTarget::Cancel(AttemptId attempt) {
  std::erase_if(this->queue, [attempt](const TargetJob& job) { return job.attempt == attempt; });
  std::erase_if(this->running,
                [attempt](const auto& entry) { return entry.second.job.attempt == attempt; });
  this->StartQueuedJobs();
}

void SimulatedTarget::Crash() {
  if (!this->process_running) {
    return;
  }
  this->process_running = false;
  std::vector<TargetJob> lost_jobs(this->queue.begin(), this->queue.end());
  for (const auto& [run_id, state] : this->running) {
    lost_jobs.push_back(state.job);
  }
  this->queue.clear();
  this->running.clear();
  for (const TargetJob& job : lost_jobs) {
    this->on_response(job, {.result = AttemptResult::kConnectionLost});
  }
  this->events.ScheduleAfter(this->model.restart_time, [this] {
    this->process_running = true;
    this->started_at = this->events.now();
  });
}

bool SimulatedTarget::AcceptsConnection(HostId host, DomainId from) const {
  return this->process_running && !this->fault.unreachable_from_domains.contains(from) &&
         !this->fault.unreachable_from_hosts.contains(host);
}

void SimulatedTarget::StartQueuedJobs() {
  while (this->running.size() < this->slot_count && !this->queue.empty()) {
    const TargetJob job = this->queue.front();
    this->queue.pop_front();
    const std::uint64_t run_id = this->next_run_id++;
    this->running[run_id] = {job, this->events.now()};
    if (!job.is_probe) {
      this->on_run(job);
    }
    this->events.ScheduleAfter(this->ServiceTime(job), [this, run_id] { this->Complete(run_id); });
  }
}

void SimulatedTarget::Complete(std::uint64_t run_id) {
  const auto position = this->running.find(run_id);
  if (position == this->running.end()) {
    return;
  }
  const TargetJob job = position->second.job;
  this->running.erase(position);
  this->on_response(job, this->MakeResponse(job));
  this->StartQueuedJobs();
}

Duration SimulatedTarget::ServiceTime(const TargetJob& job) {
  if (job.is_probe) {
    return this->fault.probes_always_succeed
               ? kProbeServiceTime
               : Duration(static_cast<Duration::rep>(
                     static_cast<double>(kProbeServiceTime.count()) * this->fault.slow_factor));
  }
  double mean_us = static_cast<double>(this->model.service_time.count()) * this->fault.slow_factor;
  if (job.work_class == WorkClass::kLong) {
    mean_us *= this->model.long_factor;
  }
  const Duration uptime = this->events.now() - this->started_at;
  if (uptime < this->model.cold_start_period) {
    const double warm_up_progress = static_cast<double>(uptime.count()) /
                                    static_cast<double>(this->model.cold_start_period.count());
    mean_us *=
        this->model.cold_start_factor + (1.0 - this->model.cold_start_factor) * warm_up_progress;
  }
  if (job.work > Duration::zero()) {
    const double factor = mean_us / static_cast<double>(this->model.service_time.count());
    return Duration(static_cast<Duration::rep>(static_cast<double>(job.work.count()) * factor));
  }
  return Duration(1 + static_cast<Duration::rep>(-mean_us * std::log(1.0 - this->random.Unit())));
}

TargetResponse SimulatedTarget::MakeResponse(const TargetJob& job) {
  TargetResponse response{.draining = this->draining};
  if (job.is_probe && this->fault.probes_always_succeed) {
    return response;
  }
  const double random_value = this->random.Unit();
  if (random_value < this->fault.error_rate) {
    response.result = AttemptResult::kServerError;
  } else if (random_value < this->fault.error_rate + this->fault.wrong_rate) {
    response.result = AttemptResult::kWrongAnswer;
    response.wrong_header = this->random.Below(2) == 0;
  }
  return response;
}

}  // namespace pimentopin::bench

#include "Bench/Runner/blocking_experiment.h"

#include <map>
#include <memory>

namespace pimentopin::bench {
namespace {

constexpr double kLongShare = 0.02;
// Longer than any wait in the experiment, so that timeouts do not truncate the
// latency distribution.
constexpr Duration kDeadline = std::chrono::seconds(60);

WorkloadSettings CreateWorkload(const BlockingRun& run, const TargetModel& model) {
  const double long_share = run.mix == WorkMix::kMixed ? kLongShare : 0.0;
  const double rate_long_share = run.mix == WorkMix::kShortAtSameLoad ? 0.0 : kLongShare;
  double rate = Workload::RateForLoad(run.load, run.service.total_slots(), model.service_time,
                                      rate_long_share, model.long_factor);
  if (run.mix == WorkMix::kShortAtSameRate) {
    rate *= 1.0 - kLongShare;
  }
  return {.service = IdFromName<ServiceId>(run.service.name),
          .requests_per_second = rate,
          .organisations = {{OrganisationId{1}, 1.0},
                            {OrganisationId{2}, 1.0},
                            {OrganisationId{3}, 1.0},
                            {OrganisationId{4}, 1.0}},
          .long_share = long_share,
          .short_deadline = kDeadline,
          .long_deadline = kDeadline,
          .duration = run.warm_up + run.measured_time};
}

void RunCluster(const BlockingRun& run, std::uint64_t seed, BlockingResult& result) {
  SimulationSettings settings{.seed = seed,
                              .services = {run.service.ToSimulatedService()},
                              .policy = *run.policy,
                              .broker = run.broker,
                              .optimistic_starts = run.optimistic_starts};
  Cluster cluster(settings);
  const TimePoint measured_from = cluster.events().now() + run.warm_up;
  cluster.request_tracker().on_finished = [&result, measured_from](const TrackedRequest& request) {
    if (request.intended_arrival < measured_from) {
      return;
    }
    ++result.requests;
    if (request.finish.outcome != Outcome::kTarget) {
      ++result.failed;
      return;
    }
    const bool is_long = request.description.work_class == WorkClass::kLong;
    (is_long ? result.long_work : result.short_work)
        .Record(request.ended_at - request.intended_arrival);
  };
  cluster.AddWorkload(CreateWorkload(run, settings.target));
  cluster.RunFor(run.warm_up + run.measured_time + kDeadline);
  result.violations += cluster.request_tracker().counts().violations();
}

// Simulates one shared queue as a single target that has all slots.
void RunOneQueue(const BlockingRun& run, std::uint64_t seed, BlockingResult& result) {
  const SimulationSettings settings;
  TargetModel model;
  model.shed_queue_length = SIZE_MAX;
  EventQueue events;
  RandomSource random(seed);
  SimulatedTarget queue(events, RandomSource(random.Next()), model, TargetId{1}, DomainId{1},
                        run.service.total_slots());
  struct PendingRequest {
    TimePoint intended_arrival;
    WorkClass work_class = WorkClass::kShort;
  };
  std::map<AttemptId, PendingRequest> pending;
  const TimePoint measured_from = events.now() + run.warm_up;
  queue.on_run = [](const TargetJob&) {};
  queue.on_response = [&](const TargetJob& job, const TargetResponse&) {
    const PendingRequest request = pending.at(job.attempt);
    pending.erase(job.attempt);
    if (request.intended_arrival < measured_from) {
      return;
    }
    ++result.requests;
    (request.work_class == WorkClass::kLong ? result.long_work : result.short_work)
        .Record(events.now() - request.intended_arrival + 2 * settings.link_delay_to_caller);
  };
  std::uint64_t next_attempt_id = 1;
  Workload workload(events, CreateWorkload(run, model), random.Next(),
                    [&](const WorkloadArrival& arrival) {
                      const AttemptId attempt{next_attempt_id++};
                      pending[attempt] = {events.now(), arrival.work_class};
                      queue.Submit({.attempt = attempt, .work_class = arrival.work_class});
                    });
  workload.Start();
  events.RunUntil(events.now() + run.warm_up + run.measured_time + kDeadline);
}

}  // namespace

std::string_view MixName(WorkMix mix) {
  switch (mix) {
    case WorkMix::kMixed:
      return "mixed";
    case WorkMix::kShortAtSameLoad:
      return "short-same-load";
    case WorkMix::kShortAtSameRate:
      return "short-same-rate";
  }
  return "";
}

BlockingResult RunBlocking(const BlockingRun& run) {
  BlockingResult result;
  for (std::size_t index = 0; index < run.seeds; ++index) {
    if (run.policy) {
      RunCluster(run, run.first_seed + index, result);
    } else {
      RunOneQueue(run, run.first_seed + index, result);
    }
  }
  return result;
}

}  // namespace pimentopin::bench

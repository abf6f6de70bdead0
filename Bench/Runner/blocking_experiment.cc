#include "Bench/Runner/blocking_experiment.h"

#include <map>
#include <memory>

namespace pimentopin::bench {
namespace {

constexpr double kLongShare = 0.02;
// Deadlines above every measured wait, so that time-outs do not hide waits.
constexpr Duration kDeadline = std::chrono::seconds(60);

WorkloadSettings WorkloadOf(const BlockingRun& run, const TargetModel& model) {
  const double long_share = run.mix == WorkMix::kMixed ? kLongShare : 0.0;
  const double mixed_share = run.mix == WorkMix::kShortAtSameLoad ? 0.0 : kLongShare;
  double rate = Workload::RateForLoad(run.load, run.service.total_slots(), model.service_time,
                                      mixed_share, model.long_factor);
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
          .duration = run.warm_up + run.measured};
}

void RunCluster(const BlockingRun& run, std::uint64_t seed, BlockingResult& result) {
  SimulationSettings settings{.seed = seed,
                              .services = {run.service.Simulated()},
                              .policy = *run.policy,
                              .broker = run.broker,
                              .optimistic_starts = run.optimistic_starts};
  Cluster cluster(settings);
  const TimePoint from = cluster.events().now() + run.warm_up;
  cluster.request_tracker().on_finished = [&result, from](const TrackedRequest& request) {
    if (request.intended_arrival < from) {
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
  cluster.AddWorkload(WorkloadOf(run, settings.target));
  cluster.RunFor(run.warm_up + run.measured + kDeadline);
  result.violations += cluster.request_tracker().counts().violations();
}

// A target with all slots is one shared queue.
void RunSharedQueue(const BlockingRun& run, std::uint64_t seed, BlockingResult& result) {
  const SimulationSettings settings;
  TargetModel model;
  model.shed_queue_length = SIZE_MAX;
  EventQueue events;
  RandomSource random(seed);
  SimulatedTarget queue(events, RandomSource(random.Next()), model, TargetId{1}, DomainId{1},
                        run.service.total_slots());
  struct Waiting {
    TimePoint intended_arrival;
    WorkClass work_class = WorkClass::kShort;
  };
  std::map<AttemptId, Waiting> waiting;
  const TimePoint from = events.now() + run.warm_up;
  queue.on_run = [](const TargetJob&) {};
  queue.on_response = [&](const TargetJob& job, const TargetResponse&) {
    const Waiting request = waiting.at(job.attempt);
    waiting.erase(job.attempt);
    if (request.intended_arrival < from) {
      return;
    }
    ++result.requests;
    (request.work_class == WorkClass::kLong ? result.long_work : result.short_work)
        .Record(events.now() - request.intended_arrival + 2 * settings.link_to_client);
  };
  std::uint64_t next = 1;
  Workload workload(events, WorkloadOf(run, model), random.Next(),
                    [&](const WorkloadArrival& arrival) {
                      const AttemptId attempt{next++};
                      waiting[attempt] = {events.now(), arrival.work_class};
                      queue.Submit({.attempt = attempt, .work_class = arrival.work_class});
                    });
  workload.Start();
  events.RunUntil(events.now() + run.warm_up + run.measured + kDeadline);
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
      RunSharedQueue(run, run.first_seed + index, result);
    }
  }
  return result;
}

}  // namespace pimentopin::bench

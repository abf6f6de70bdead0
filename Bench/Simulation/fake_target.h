#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "Bench/Simulation/event_queue.h"
#include "Bench/Simulation/simulation_settings.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin::bench {

// A request as it arrives at a target.
struct TargetJob {
  AttemptId attempt{};
  RequestId request{};
  WorkClass work_class = WorkClass::kShort;
  Fingerprint fingerprint{};
  bool is_probe = false;
};

// What the target sends back.
struct TargetAnswer {
  AttemptResult result = AttemptResult::kSuccess;
  // A wrong answer that shows in the header rather than in the body.
  bool wrong_in_header = false;
  bool draining = false;
};

// A target with slots, a FIFO queue and faults.
class FakeTarget {
 public:
  using AnswerHook = std::function<void(const TargetJob& job, const TargetAnswer& answer)>;
  using RunHook = std::function<void(const TargetJob& job)>;

  FakeTarget(EventQueue& event_queue,
             RandomSource random_source,
             TargetModel target_model,
             TargetId target_id,
             DomainId target_domain,
             std::uint32_t slot_count);

  // A request that reached the target. Each is answered once through on_answer
  // unless it is cancelled.
  void Arrive(const TargetJob& job);
  // The connection was closed: drops queued work and frees a slot that runs it.
  void Cancel(AttemptId attempt);
  // All connections break; the process is back, and cold, after `restart_time`.
  void Crash();
  void Drain() { this->draining = true; }
  void StopDraining() { this->draining = false; }
  // A request with this fingerprint crashes the target.
  void CrashOn(Fingerprint fingerprint) { this->deadly.insert(fingerprint); }

  // Whether a connection from there is accepted.
  bool Accepts(HostId host, DomainId from) const;
  bool up() const { return this->running_process; }

  AnswerHook on_answer;
  // Called when a request begins to run.
  RunHook on_run;
  TargetFault fault;

  TargetId id() const { return this->target; }
  DomainId domain() const { return this->own_domain; }
  std::uint32_t slots() const { return this->slot_count; }

 private:
  struct Running {
    TargetJob job;
    TimePoint started;
  };

  void StartNext();
  void Complete(std::uint64_t run);
  Duration ServiceTime(const TargetJob& job);
  TargetAnswer Answer(const TargetJob& job);

  EventQueue& events;
  RandomSource random;
  TargetModel model;
  TargetId target;
  DomainId own_domain;
  std::uint32_t slot_count;
  std::deque<TargetJob> queue;
  std::map<std::uint64_t, Running> running;
  std::uint64_t next_run = 0;
  std::set<Fingerprint> deadly;
  bool draining = false;
  bool running_process = true;
  // Start of the process; the first one is warm.
  TimePoint started_at;
};

}  // namespace pimentopin::bench

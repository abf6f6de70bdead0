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

// Request that a target has received.
struct TargetJob {
  AttemptId attempt{};
  RequestId request{};
  WorkClass work_class = WorkClass::kShort;
  Fingerprint fingerprint{};
  bool is_probe = false;
  // Work at normal speed; zero if the target draws it.
  Duration work{};
};

// Response of a target.
struct TargetResponse {
  AttemptResult result = AttemptResult::kSuccess;
  // For AttemptResult::kWrongAnswer: the error is in the header rather than in the
  // body.
  bool wrong_header = false;
  bool draining = false;
};

// Target with a fixed number of slots, a FIFO queue and injected faults.
class SimulatedTarget {
 public:
  using ResponseHook = std::function<void(const TargetJob& job, const TargetResponse& response)>;
  using RunHook = std::function<void(const TargetJob& job)>;

  SimulatedTarget(EventQueue& event_queue,
                  RandomSource random_source,
                  TargetModel target_model,
                  TargetId target_id,
                  DomainId target_domain,
                  std::uint32_t slot_count);

  // Accepts a request. on_response is called exactly once for it unless it is
  // cancelled. Does not check AcceptsConnection: Cluster does before it sends the request.
  void Submit(const TargetJob& job);
  // Handles a closed connection: removes the request from the queue or its slot.
  void Cancel(AttemptId attempt);
  // Closes all connections. The process restarts with a cold start after
  // `restart_time`.
  void Crash();
  void Drain() { this->draining = true; }
  void StopDraining() { this->draining = false; }
  // Makes requests with this fingerprint crash the target.
  void CrashOnFingerprint(Fingerprint fingerprint) { this->crash_fingerprints.insert(fingerprint); }

  // True if the target accepts connections from the host in that failure domain.
  bool AcceptsConnection(HostId host, DomainId from) const;
  bool is_running() const { return this->process_running; }

  ResponseHook on_response;
  // Called when a request other than a probe begins to run.
  RunHook on_run;
  TargetFault fault;

  TargetId id() const { return this->target; }
  DomainId domain() const { return this->target_domain_id; }
  std::uint32_t slots() const { return this->slot_count; }

 private:
  struct RunningJob {
    TargetJob job;
    TimePoint started;
  };

  void StartQueuedJobs();
  void Complete(std::uint64_t run_id);
  Duration ServiceTime(const TargetJob& job);
  TargetResponse MakeResponse(const TargetJob& job);

  EventQueue& events;
  RandomSource random;
  TargetModel model;
  TargetId target;
  DomainId target_domain_id;
  std::uint32_t slot_count;
  std::deque<TargetJob> queue;
  std::map<std::uint64_t, RunningJob> running;
  std::uint64_t next_run_id = 0;
  std::set<Fingerprint> crash_fingerprints;
  bool draining = false;
  bool process_running = true;
  // Start time of the process. The initial process does not have a cold start.
  TimePoint started_at;
};

}  // namespace pimentopin::bench

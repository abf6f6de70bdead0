#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_server.h"
#include "Tests/StandIns/Target/target_mode.h"

namespace pimentopin {

struct TargetSettings {
  std::string name = "target";
  // Named in the answers.
  std::string service = "service";
  std::size_t slots = 3;
  // Waiting requests above this number are shed.
  std::size_t queue_limit = 100;
  Duration service_time = std::chrono::milliseconds(20);
  Duration long_time = std::chrono::milliseconds(600);
  // After the start, work takes kColdFactor times as long, falling linearly to the ordinary time.
  Duration cold_start{};
  // Service times vary by this share in either direction.
  double jitter = 0.2;
  std::uint64_t seed = 1;
  // Prints one line to standard output at the start of each run.
  bool print_runs = false;
  // Speaks the headers of the platform's backends, see docs/platform.md.
  bool speaks_platform = false;
};

// One run of a request.
struct LedgerEntry {
  std::string attempt_id;
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string path;
  // Microseconds since the Unix epoch; an end of 0 means that the run goes on.
  std::uint64_t started_at_us = 0;
  std::uint64_t ended_at_us = 0;
  // False if the run was cancelled or stopped at its deadline.
  bool completed = false;

  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// A target with `slots` workers and a FIFO queue. All functions run on the io_context's thread.
class Target {
 public:
  static constexpr double kColdFactor = 4.0;
  // Exit code of a crash caused by TargetMode::crash_path.
  static constexpr int kCrashExitCode = 70;

  Target(asio::io_context& context, TargetSettings settings);

  void Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);

 private:
  struct Job;

  void Control(const HttpServerRequest& request, HttpResponder& responder);
  void Health(HttpResponder& responder);
  void Ledger(HttpResponder& responder);
  void Work(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);
  bool IsDeafTo(const HttpServerRequest& request) const;
  void Shed(Job& job, const std::string& reason);
  void StartJobs();
  void Run(const std::shared_ptr<Job>& job);
  // Ends a run; `completed` tells whether the work was done.
  void EndRun(const std::shared_ptr<Job>& job, bool completed);
  void Answer(Job& job);
  void Cancel(const std::shared_ptr<Job>& job);
  Duration ServiceTime(const Job& job);
  HttpHeaders StateHeaders() const;
  std::string RequestId(const Job& job) const;

  asio::io_context& context;
  const TargetSettings settings;
  const TimePoint started_at;
  RandomSource random;
  TargetMode mode;
  std::deque<std::shared_ptr<Job>> queue;
  std::size_t running = 0;
  std::vector<LedgerEntry> ledger;
};

}  // namespace pimentopin

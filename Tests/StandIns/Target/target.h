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
  // Name of the service in the response bodies.
  std::string service = "service";
  std::size_t slots = 3;
  // Requests are shed while this many requests are queued.
  std::size_t queue_limit = 100;
  Duration service_time = std::chrono::milliseconds(20);
  Duration long_service_time = std::chrono::milliseconds(600);
  // Period after the start in which service times fall linearly from kColdStartFactor times to
  // the ordinary service time.
  Duration cold_start_period{};
  // Service times vary by up to this fraction in either direction.
  double jitter = 0.2;
  std::uint64_t seed = 1;
  // Prints one line to standard output when a run starts.
  bool print_runs = false;
  // Uses the headers of the platform's backends, see docs/platform.md.
  bool uses_platform_headers = false;
};

// Record of one run of a request.
struct LedgerEntry {
  std::string attempt_id;
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string path;
  // Microseconds since the Unix epoch. The end is 0 while the request runs.
  std::uint64_t started_at_us = 0;
  std::uint64_t ended_at_us = 0;
  // False while the request runs, and if it was cancelled or reached its deadline.
  bool completed = false;

  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// Target with `slots` workers and a FIFO queue. All functions run on the io_context's thread.
class Target {
 public:
  static constexpr double kColdStartFactor = 4.0;
  // Exit code of a crash caused by TargetMode::crash_path.
  static constexpr int kCrashExitCode = 70;

  Target(asio::io_context& context, TargetSettings settings);

  void Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);

 private:
  struct Job;

  void HandleControl(const HttpServerRequest& request, HttpResponder& responder);
  void HandleHealth(HttpResponder& responder);
  void HandleLedger(HttpResponder& responder);
  void HandleWork(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);
  bool IsUnreachableFrom(const HttpServerRequest& request) const;
  void Shed(Job& job, const std::string& reason);
  void StartJobs();
  void Run(const std::shared_ptr<Job>& job);
  // Ends a run. `completed` is false if it reached its deadline.
  void EndRun(const std::shared_ptr<Job>& job, bool completed);
  void SendResponse(Job& job);
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

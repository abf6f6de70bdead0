#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <vector>

#include "Bench/Load/load_plan.h"
#include "Bench/Load/load_record.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

struct LoadSettings {
  LoadPlan plan;
  // Caller addresses of hosts, IP:port.
  std::vector<std::string> hosts;
  // Addresses of targets by service. If hosts are given as well, requests alternate
  // between hosts and targets, so that both run under the same conditions.
  std::map<std::string, std::vector<std::string>> direct;
  Duration duration{};
  std::uint64_t seed = 1;
  // Factor on all rates of the plan.
  double rate_factor = 1;
};

// Open-loop load generator: starts each request at its intended time, whether or not
// earlier requests have finished. Slow responses thus neither delay later requests
// nor improve the measured latencies (no coordinated omission).
class LoadRunner {
 public:
  explicit LoadRunner(LoadSettings settings);

  // Returns after all requests have finished.
  std::vector<LoadRecord> Run();

 private:
  struct PlannedRequest {
    Duration start_offset{};
    const LoadStream* stream = nullptr;
    std::uint64_t request_index = 0;
    // 0 for the request itself, 1 for its duplicate.
    int duplicate_index = 0;

    friend bool operator>(const PlannedRequest& left, const PlannedRequest& right) {
      return left.start_offset > right.start_offset;
    }
  };
  struct PendingRequest;

  std::vector<PlannedRequest> Plan();
  void Send(const PlannedRequest& planned, TimePoint intended_start);
  std::string CreateUrl(const PlannedRequest& planned, const std::string& request_id, bool direct);
  void Finish(const std::shared_ptr<PendingRequest>& pending, const TransferResult& result);

  const LoadSettings settings;
  RandomSource random;
  std::unique_ptr<HttpClient> client;

  std::mutex mutex;
  std::condition_variable all_finished;
  std::size_t in_flight = 0;
  std::vector<LoadRecord> records;
};

}  // namespace pimentopin

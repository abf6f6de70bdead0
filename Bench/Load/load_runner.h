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
  // Addresses of targets by service. If given together with hosts, requests
  // alternate between both, so that both see the same conditions.
  std::map<std::string, std::vector<std::string>> direct;
  Duration duration{};
  std::uint64_t seed = 1;
  // Multiplies all rates.
  double rate_factor = 1;
};

// Sends requests at their intended times whether or not earlier ones have been
// answered, so that a slow answer does not hide the load it delays.
class LoadRunner {
 public:
  explicit LoadRunner(LoadSettings settings);

  // Returns when every answer has ended.
  std::vector<LoadRecord> Run();

 private:
  struct PlannedRequest {
    Duration at{};
    const LoadStream* stream = nullptr;
    std::uint64_t number = 0;
    // 0 for the first copy of a request, 1 for a second one.
    int copy = 0;

    friend bool operator>(const PlannedRequest& left, const PlannedRequest& right) {
      return left.at > right.at;
    }
  };
  struct Pending;

  std::vector<PlannedRequest> Plan();
  void Send(const PlannedRequest& planned, TimePoint intended);
  std::string UrlOf(const PlannedRequest& planned, const std::string& request_id, bool direct);
  void Finish(const std::shared_ptr<Pending>& pending, const TransferResult& end);

  const LoadSettings settings;
  RandomSource random;
  std::unique_ptr<HttpClient> client;

  std::mutex mutex;
  std::condition_variable all_done;
  std::size_t in_flight = 0;
  std::vector<LoadRecord> records;
};

}  // namespace pimentopin

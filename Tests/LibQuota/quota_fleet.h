#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibQuota/host_quotas.h"

namespace pimentopin {

// Hosts with HostQuotas, the links between them and the store, in virtual time.
class QuotaFleet {
 public:
  struct Faults {
    double message_loss = 0;
    // Share of the messages that take up to 400 ms.
    double message_delay = 0;
    bool store_down = false;
    // Shares of the calls whose response is lost, and that take effect up to 3 s later.
    double response_loss = 0;
    double late_calls = 0;
    // Probability that a host leaves another one out of its candidates.
    double unseen_candidate = 0;
  };
  struct Result {
    Duration at{};
    OrganisationId organisation{};
    QuotaDecision decision = QuotaDecision::kAdmitted;
    Duration retry_after{};
    Duration waited{};
  };

  QuotaFleet(std::size_t hosts, std::uint64_t seed);

  void Run(Duration duration);
  // All hosts adopt the limits, each within `spread`.
  void Configure(const QuotaLimits& limits, Duration spread = {});
  // Sends a request to a host that runs, chosen at random.
  void Send(OrganisationId organisation);
  // Sends requests of the organisation at random times, on average `per_second`, from now on; with
  // `within`, only those that one bucket with this limit would admit.
  void SetDemand(OrganisationId organisation,
                 double per_second,
                 std::optional<QuotaLimit> within = {});

  void Kill(std::size_t host);
  void Start(std::size_t host);
  // SIGTERM: releases its parts and ends a second later.
  void Stop(std::size_t host);
  void Pause(std::size_t host, Duration duration);
  void SetCutFromStore(std::size_t host, bool cut);
  void SetCutFromHosts(std::size_t host, bool cut);

  // The store takes a copy of itself, and comes back from the last one in a new era.
  void TakeStoreCopy() { this->copy = this->rows; }
  void ReturnFromStoreCopy();

  bool IsUp(std::size_t host) const { return this->hosts[host].quotas != nullptr; }
  std::size_t size() const { return this->hosts.size(); }
  std::size_t PartsHeld(std::size_t host) const;
  Duration now() const { return this->time; }
  const std::vector<Result>& results() const { return this->all_results; }
  std::size_t Count(QuotaDecision decision, OrganisationId organisation, Duration since) const;
  std::uint64_t messages() const { return this->message_count; }
  std::uint64_t store_calls() const { return this->store_call_count; }

  Faults faults;
  RandomSource random;

 private:
  using Task = std::function<HostQuotaActions(HostQuotas&)>;
  struct Host {
    std::unique_ptr<HostQuotas> quotas;
    // Counts starts; events of an earlier process are dropped.
    std::uint64_t process = 0;
    Duration clock_offset{};
    Duration paused_until{};
    // Tasks that wait for the end of a pause, in order.
    std::vector<Task> delayed;
    bool leaving = false;
    bool cut_from_store = false;
    bool cut_from_hosts = false;
    StoreEra known_era = 0;
    Duration wake_at = Duration::max();
    std::map<RequestId, Result> waiting;
  };
  struct Event {
    Duration at{};
    std::uint64_t sequence = 0;
    std::function<void()> task;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.sequence) < std::pair(this->at, this->sequence);
    }
  };

  void At(Duration at, std::function<void()> task);
  // Runs the task at the host once it is not paused, if its process still runs.
  void AtHost(std::size_t host, Duration at, Task task);
  void RunAtHost(std::size_t host, std::uint64_t process, const Task& task);
  void Resume(std::size_t host, std::uint64_t process);
  void RunNow(std::size_t host, const Task& task);
  void Execute(std::size_t host, const HostQuotaActions& actions);
  void Deliver(std::size_t from, const SendToHost& action);
  // Runs the operation at the store and passes whether its response arrives to `done`.
  void CallStore(std::size_t host,
                 std::function<void()> operation,
                 std::function<HostQuotaActions(HostQuotas&, bool)> done);
  void UpdateCandidates(std::size_t host);
  struct Demand {
    double per_second = 0;
    std::optional<QuotaLimit> within;
    // Of the bucket, which begins full.
    double level = 0;
    Duration level_at{};
    std::uint64_t generation = 0;
  };

  void NextDemand(OrganisationId organisation, std::uint64_t generation);
  static bool IsWithin(Demand& demand, Duration now);
  BootTimePoint HostTime(std::size_t host) const;
  StoreTimePoint StoreTime() const;
  Duration LinkDelay();

  Duration time{};
  std::uint64_t next_sequence = 0;
  std::priority_queue<Event> events;
  std::vector<Host> hosts;
  std::map<HostId, std::size_t> host_by_id;
  HostQuotas::Rows rows;
  HostQuotas::Rows copy;
  StoreEra era = 1;
  QuotaLimits limits;
  std::map<OrganisationId, Demand> demands;
  std::vector<Result> all_results;
  std::uint64_t next_request = 1;
  std::uint64_t message_count = 0;
  std::uint64_t store_call_count = 0;
};

// Largest number of requests above (rate x 5 s + burst) x 1.1 + 20 that were admitted in some 5 s
// after `since`; not positive if the bound holds.
double LargestExcess(const QuotaFleet& fleet,
                     OrganisationId organisation,
                     const QuotaLimit& limit,
                     Duration since = {});

}  // namespace pimentopin

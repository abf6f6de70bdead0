#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Keeps the retry budgets of the services whose broker this host is or may
// become, and tells the other candidates what was used, so that a new broker
// does not allow the retries of the last window again.
class RetryUsageExchange {
 public:
  // Time within which a retry is reported.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);

  // Properties of a service or cell.
  struct Hooks {
    // Ranks by rendezvous hashing if it is not set.
    BrokerRanker rank_brokers;
    // Returns the limits of the service's share of `retry_limits`.
    std::function<RetryLimits(ServiceId, const RetryLimits&)> limits_of;
  };

  // `counter` identifies this process.
  RetryUsageExchange(HostId self_host,
                     RetryCounterId counter,
                     const RetryLimits& retry_limits,
                     Hooks service_hooks = {});

  // Sets the hosts that may be brokers.
  std::vector<SendToHost> SetMembers(TimePoint now, std::vector<HostId> eligible_hosts);
  // Returns the budget of a service whose broker this host becomes. Adds messages
  // that ask the other candidates for their counts.
  std::shared_ptr<RetryBudget> Open(TimePoint now,
                                    ServiceId service,
                                    std::vector<SendToHost>& messages);
  std::vector<SendToHost> OnUsage(TimePoint now, HostId sender, const RetryUsage& usage);
  // Reports retries that were counted since the last report.
  std::vector<SendToHost> Tick(TimePoint now);
  // Time at which Tick() must be called next; TimePoint::max() if there is nothing
  // to report.
  TimePoint NextDeadline(TimePoint now);

 private:
  struct Peer {
    // Empty if the host has not got all counts.
    std::optional<TimePoint> sent_at;
    std::optional<TimePoint> heard_at;
  };
  struct Share {
    std::shared_ptr<RetryBudget> budget;
    std::vector<HostId> candidates;
    std::map<HostId, Peer> peers;
    std::uint64_t reported_retries = 0;
    std::optional<TimePoint> report_due_at;
  };
  using Messages = std::vector<SendToHost>;

  std::vector<HostId> CandidatesOf(ServiceId service) const;
  Share& FindOrCreate(ServiceId service);
  // Hosts that act or may act as brokers, without this one.
  std::vector<HostId> Receivers(TimePoint now, const Share& share) const;
  void SendAll(TimePoint now, ServiceId service, Share& share, HostId host, Messages& messages);
  void SendRecent(TimePoint now, ServiceId service, Share& share, HostId host, Messages& messages);

  HostId self{};
  RetryCounterId counter_id{};
  RetryLimits limits;
  Hooks hooks;
  std::vector<HostId> members;
  std::map<ServiceId, Share> shares;
};

}  // namespace pimentopin

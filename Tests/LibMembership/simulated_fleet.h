#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibMembership/configuration_lease.h"
#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibMembership/leaving_targets.h"
#include "Libraries/LibMembership/store_relay.h"

namespace pimentopin {

// Long poll: the store answers when there is a change or `timeout` has passed.
struct StoreWait {
  Duration timeout{};
  std::function<bool()> has_change;
};

// Simulates the membership logic of several hosts in virtual time. They share one
// store of rows and documents and a network that delays and drops messages.
class SimulatedFleet {
 public:
  // Connection of a host to the store.
  struct StoreConnection {
    // Set when the connection goes silent: responses on it are lost from then on.
    std::optional<TimePoint> silent_since;
  };

  static constexpr Duration kRevocationTime = std::chrono::seconds(5);

  struct Host {
    Host(const MemberRecord& record, bool configuration_polled);

    HostDirectory directory;
    StoreRelay relay;
    ConfigurationTracker tracker;
    LeavingTargets leaving_targets;
    ConfigurationLease lease{kRevocationTime};
    // What the last response of the store showed.
    ConfigurationConfirmation last_response;
    // Values of the rows of the table "targets" without heartbeats, by key.
    std::map<std::string, std::string> targets;
    // Adopted configuration revisions, in order.
    std::vector<std::uint64_t> adopted_revisions;
    std::map<HostId, TimePoint> failing_since;
    // Addresses that other hosts stated in their digests.
    std::map<HostId, std::string> learned_addresses;
    TimePoint next_registration;
    bool registering = false;
    bool paused = false;
    // Events that arrived during a pause; Resume handles them.
    std::vector<std::function<void()>> deferred_events;
    std::uint64_t bytes_sent = 0;
    std::uint64_t store_calls = 0;
    // Connections to the store with a call, and those kept for further calls.
    std::set<std::shared_ptr<StoreConnection>> busy_store_connections;
    std::vector<std::shared_ptr<StoreConnection>> idle_store_connections;
    // Times at which the link has transferred everything that waits for it.
    TimePoint upload_free_at;
    TimePoint download_free_at;
  };

  explicit SimulatedFleet(std::uint64_t seed);

  // Number of the failure domain of a host.
  static std::uint64_t DomainOf(const std::string& name) { return 1 + StableHash(name) % 3; }

  // Starts `count` hosts with consecutive names and incarnations.
  void StartHosts(std::size_t count);
  // Starts a host. Starting the same name again is a restart, at a new address
  // unless one is given.
  HostId Start(const std::string& name, std::uint64_t incarnation, std::string address = "");
  void Stop(HostId host);
  void Pause(HostId host);
  void Resume(HostId host);
  void SetLeaving(HostId host);
  // Sends the host's notices of leaving targets to all other hosts.
  void BroadcastNotices(HostId host);
  // Write or remove the row of a target in the store.
  void WriteTarget(const std::string& name, const std::string& value);
  void RemoveTarget(const std::string& name);

  // The store takes a copy of itself, and comes back from the last one in a new era.
  void TakeStoreCopy();
  void ReturnFromStoreCopy();

  // Makes each connection between two hosts silent: the messages on it are lost until its sender
  // notices that the first of them is not acknowledged.
  void SilenceConnections();
  // Makes the connections to the store silent at a random `share` of the hosts. New ones work.
  void SilenceStoreConnections(double share);

  void RunFor(Duration duration);
  // Runs until the condition holds. Returns the elapsed virtual time, or nothing if
  // it exceeds `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition, Duration limit);

  // Commits a document at a host, and writes it to the store if the store is up.
  void Commit(HostId host, std::uint64_t revision);
  // Writes a document to the store as the platform's operator does.
  void CommitToStore(std::uint64_t revision);
  // True if the host accepts keys by its configuration now.
  bool AcceptsKeys(HostId host) const;
  bool HasAdopted(HostId host, std::uint64_t revision) const;
  bool AdoptedEverywhere(std::uint64_t revision) const;
  // Delivers a delayed copy of a document to a host.
  void DeliverDocument(HostId host, std::uint64_t revision);
  ConfigurationDocument Document(std::uint64_t revision) const;

  Host& GetHost(HostId host) { return *this->hosts.at(host); }
  std::vector<HostId> RunningHosts() const;
  bool ConsidersUsable(HostId observer, HostId subject) const;
  // Empty if the observer does not know the subject.
  std::optional<MemberState> StateOf(HostId observer, HostId subject) const;
  HostId RandomHost();

  TimePoint now{};
  RandomSource random;
  double loss_rate = 0.0;
  Duration max_latency = std::chrono::milliseconds(3);
  bool store_up = true;
  // While the store is down, it does not refuse calls: they end after store_timeout, also those
  // whose end falls after its return.
  bool silent_when_down = false;
  // If set before the hosts start, reads that may wait for a change do so, and the configuration is
  // read by them. Otherwise the store answers all reads at once.
  bool long_polls = false;
  // Timeout of a call of the store (PlatformHttpClientSettings).
  Duration store_timeout = std::chrono::seconds(1);
  // Time after which a host closes a silent connection to the store, by its keep-alive probes.
  Duration store_keep_alive_timeout = std::chrono::seconds(2);
  // Hosts that the store does not answer.
  std::set<HostId> unanswered_hosts;
  // The hosts tell each other up to when the store has confirmed the configuration.
  bool has_revocation_time = false;
  // Time for which the store holds a read of the configuration.
  Duration configuration_poll_timeout = StoreRelay::kConfigurationPollTimeout;
  std::string document_content = std::string(500, 'x');
  // Capacity of a host that starts, in thousandths of a core.
  std::function<std::uint32_t(const std::string& name)> capacity_of =
      [](const std::string& /*name*/) { return 1000; };
  // If set, the rate of a host's link in each direction. Messages and responses of the store wait
  // for the link in order.
  std::function<double(HostId host)> link_bytes_per_second;
  // Pairs of sender and receiver whose messages are all lost.
  std::set<std::pair<HostId, HostId>> cut_paths;
  // If set, each message is encoded and decoded, and its bytes are counted.
  bool use_codec = false;
  // Set when a host adopts a revision that is not higher than its last one.
  bool revision_reverted = false;
  // If set, messages for which it returns false are lost.
  std::function<bool(HostId from, HostId to, const Message&)> message_filter;

 private:
  struct Event {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
  };
  struct LaterFirst {
    bool operator()(const Event& left, const Event& right) const {
      return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
    }
  };
  struct StoredRow {
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;
  };
  using Table = std::map<std::string, StoredRow>;

  void Schedule(TimePoint at, std::function<void()> run);
  bool Step(TimePoint limit);
  // Calls `run` unless the host was stopped or replaced. Deferred while the host is
  // paused.
  void RunOnHost(const std::weak_ptr<Host>& host, const std::function<void()>& run);
  void Tick(const std::weak_ptr<Host>& weak_host);
  // True if the receiver listens at an address that the sender knows.
  bool ReachesAddress(const Host& from, HostId to) const;
  void Send(Host& from, HostId to, Message message);
  void Deliver(Host& host, HostId sender, const Message& message);
  void Execute(Host& host, const std::vector<ConfigurationAction>& actions);
  void Execute(Host& host, const std::vector<RelayAction>& actions);
  void Execute(Host& host, const RelayAction& action);
  struct StoreCall {
    std::weak_ptr<Host> host;
    std::shared_ptr<StoreConnection> connection;
    TimePoint started_at;
    StoreWait wait;
    // Runs at the host.
    std::function<void(Host&, bool answered)> on_result;
  };
  // Calls the store. `on_result` runs at the host after a delay.
  // `response_bytes` is the size of the response.
  void CallStore(Host& host,
                 std::function<void(Host&, bool answered)> on_result,
                 std::size_t response_bytes = 0,
                 StoreWait wait = {});
  // Ends the call if the store has answered it or its connection has failed, or looks again later.
  void ContinueStoreCall(const std::shared_ptr<StoreCall>& call);
  void EndStoreCall(const StoreCall& call, bool answered);
  // An idle connection, the last one used first, or a new one.
  std::shared_ptr<StoreConnection> TakeStoreConnection(Host& host) const;
  // True if keep-alive probes have closed the connection.
  bool IsClosed(const StoreConnection& connection) const;
  bool HasRowsAfter(const std::string& table, const StoreVersion& after) const;
  // True if the store has the changes since this version.
  bool HasHistorySince(const StoreVersion& after) const;
  // Returns when a host's link has transferred `bytes` more, and occupies the link until then.
  TimePoint TransferOver(HostId host, TimePoint& link_free_at, std::size_t bytes) const;
  FeedBatch ReadRows(const std::string& table, std::uint64_t after, bool with_removed) const;
  void WriteRow(const std::string& table, const std::string& key, std::optional<std::string> value);
  void Register(Host& host);
  void RemoveFailedHosts(Host& host);
  void SendNotices(HostId host);
  void OnRows(Host& host, const std::string& table, const std::vector<FeedRow>& rows);
  void UpdateDirectory(Host& host);
  // The clock of a host, which differs from that of the store.
  BootTimePoint BootTime(HostId host, TimePoint at) const;
  void Confirm(Host& host, const ConfigurationConfirmation& confirmation);
  void RefreshConfirmedStoreTime(Host& host) const;

  // True if the connection is silent and its sender has not noticed it yet.
  bool IsSilent(HostId from, HostId to);

  std::map<HostId, std::shared_ptr<Host>> hosts;
  // Silent connections by sender and receiver, with the time of the first lost message.
  std::map<std::pair<HostId, HostId>, std::optional<TimePoint>> silent_connections;
  std::priority_queue<Event, std::vector<Event>, LaterFirst> events;
  std::uint64_t sequence = 0;
  std::uint64_t start_count = 0;
  std::map<std::string, Table> tables;
  std::uint64_t version = 1;
  std::optional<ConfigurationDocument> stored_document;
  StoreEra era = 1;
  struct StoreCopy {
    std::map<std::string, Table> tables;
    std::uint64_t version = 0;
    std::optional<ConfigurationDocument> document;
  };
  StoreCopy copy;
};

}  // namespace pimentopin

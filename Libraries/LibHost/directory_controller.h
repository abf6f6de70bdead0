#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibMembership/store_relay.h"
#include "Libraries/LibPeer/peer_network.h"
#include "Libraries/LibPlatform/platform_store.h"

namespace pimentopin {

// Table of the store in which the hosts register themselves.
inline constexpr const char* kHostTable = "hosts";

// Tracks the hosts and registered targets in the platform's store, registers this host
// there, and exchanges notices about leaving targets and crash requests with peers.
class DirectoryController {
 public:
  struct Settings {
    MemberRecord self;
    // Empty if targets do not register themselves.
    std::string target_table;
    std::function<std::optional<RegisteredTarget>(const std::string& name,
                                                  std::string_view value,
                                                  Error& error)>
        read_target;
    // False if reading the configuration waits for a change (long poll).
    bool configuration_polled = true;
    // Reads the newest configuration and passes on whether the store answered.
    std::function<void(const ReadNewestConfiguration&, std::function<void(const Error&)>)>
        read_configuration;
    // Receives the digests of other hosts, before this host acts on them; may be empty.
    std::function<void(const StoreDigest&)> on_digest = {};
    // Time of the store up to which the active configuration is known to be the newest one, for the
    // digests; may be empty.
    std::function<std::optional<StoreTimePoint>()> confirmed_store_time = {};
    // Called when a host is known to have a revision of the configuration.
    std::function<void(HostId, std::uint64_t)> on_revision_seen;
    // Called when the registered targets were read or have changed.
    std::function<void()> on_targets_changed;
    // Called when SharedState has new leaving targets or fingerprints.
    std::function<void()> on_notices_changed;
  };

  DirectoryController(ControlLoop& loop,
                      SharedState& shared_state,
                      PeerNetwork& peers,
                      PlatformStore& store,
                      Settings settings);

  void Start();
  // Handles messages about the store and notices; ignores others.
  void OnMessage(const Envelope& envelope);
  void SetConfigurationRevision(std::uint64_t revision);
  // Sends the leaving targets and fingerprints to all hosts.
  void BroadcastNotices();
  void SetLeaving();
  // True if the table of targets has been read or targets do not register themselves.
  bool HasTargets() const;
  // True if a message of a peer or a response of the store arrived within `window`.
  bool HasContactWithin(Duration window) const;

 private:
  void Update();
  void RefreshConfirmedStoreTime();
  void Execute(const std::vector<RelayAction>& actions);
  void Execute(const ListTable& action);
  void Execute(const ReadChanges& action);
  // Time since what this host knows of the store was confirmed; -1 if it never was.
  std::int64_t ViewAgeMs() const;
  void Execute(const ReadNewestConfiguration& action);
  void Execute(const PullConfiguration& action);
  void Execute(const RowsChanged& action);
  void Execute(const RemovalsDeferred& action);
  void Execute(const EraStarted& action);
  void Execute(const SendToHost& action);
  // Returns the number of changes that the rows were for this host.
  std::size_t OnRows(const std::string& table,
                     const std::optional<FeedBatch>& batch,
                     const Error& error);
  void OnHostRows(const std::vector<FeedRow>& rows);
  void OnTargetRows(const std::vector<FeedRow>& rows);
  void LogTargetChange(const RegisteredTarget* before,
                       const RegisteredTarget& after,
                       const FeedRow& row);
  void SendNotices();
  void UpdateReachability();
  // True if this host's row is in the store, as far as it knows.
  bool IsRegistered() const;
  void Register();
  // Removes the rows of unreachable hosts of this host's failure domain.
  void RemoveUnreachableHosts();
  void Publish();

  ControlLoop& loop;
  SharedState& shared_state;
  PeerNetwork& peers;
  PlatformStore& store;
  const Settings settings;
  HostDirectory directory;
  StoreRelay relay;
  std::unique_ptr<Alarm> alarm;
  std::map<std::string, RegisteredTarget> targets;
  int remaining_notice_repeats = 0;
  bool notices_scheduled = false;
  bool registering = false;
  bool removing_host = false;
  // Version of this host's row as of its last write, if the mirror does not have it yet.
  std::optional<StoreVersion> own_row_version;
  // Earliest time of the next registration attempt. A written row needs time to reach the
  // mirror.
  TimePoint registration_due;
  std::optional<TimePoint> last_peer_message_at;
  bool was_store_reader = false;
  bool store_was_reachable = true;
};

}  // namespace pimentopin

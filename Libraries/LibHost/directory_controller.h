#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibMembership/store_relay.h"
#include "Libraries/LibPeer/peer_network.h"
#include "Libraries/LibPlatform/platform_store.h"

namespace pimentopin {

// Keeps hosts and registered targets as the platform's store has them, registers
// the own host there, and shares notices of leaving targets and crash requests.
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
    // Reading the configuration does not wait for a change.
    bool configuration_polled = true;
    // Reads the newest configuration; the argument is told whether the store answered.
    std::function<void(std::function<void(bool)>)> read_configuration;
    // A host has this revision of the configuration.
    std::function<void(HostId, std::uint64_t)> on_revision_seen;
    // The registered targets were read or have changed.
    std::function<void()> on_targets;
    // New leaving targets or fingerprints are on the blackboard.
    std::function<void()> on_notices;
  };

  DirectoryController(ControlLoop& loop,
                      Blackboard& board,
                      PeerNetwork& peers,
                      PlatformStore& store,
                      Settings settings);

  void Start();
  // Handles the messages about the store and notices; others are ignored.
  void OnMessage(const Envelope& envelope);
  void SetConfigurationRevision(std::uint64_t revision);
  // Tells all hosts of new leaving targets and fingerprints.
  void SpreadNotices();
  void SetLeaving();
  // The table of targets, if there is one, has been read.
  bool HasTargets() const;
  // A peer or the store was heard within the window.
  bool HeardWithin(Duration window) const;

 private:
  void Wake();
  void Execute(const std::vector<RelayAction>& actions);
  void Execute(const ListTable& action);
  void Execute(const ReadChanges& action);
  void Execute(const ReadNewestConfiguration& action);
  void Execute(const PullConfiguration& action);
  void Execute(const RowsChanged& action);
  void Execute(const SendToHost& action);
  void OnRows(const std::string& table, const std::optional<FeedBatch>& batch, const Error& error);
  void OnHostRows(const std::vector<FeedRow>& rows);
  void OnTargetRows(const std::vector<FeedRow>& rows);
  void LogTarget(const RegisteredTarget* before, const RegisteredTarget& after, const FeedRow& row);
  void SendNotices();
  void UpdateReachability();
  void Register();
  // Removes rows of hosts of the own failure domain that are gone.
  void PruneHosts();
  void Publish();

  ControlLoop& loop;
  Blackboard& board;
  PeerNetwork& peers;
  PlatformStore& store;
  const Settings settings;
  HostDirectory directory;
  StoreRelay relay;
  std::unique_ptr<Alarm> alarm;
  std::map<std::string, RegisteredTarget> targets;
  int notice_repeats = 0;
  bool notices_scheduled = false;
  bool registering = false;
  bool pruning = false;
  // Version of the own row if the mirror is behind.
  std::optional<std::uint64_t> own_row_version;
  // The own row was written and is not in the mirror yet.
  TimePoint registration_due;
  std::optional<TimePoint> heard_peer_at;
  bool store_was_heard = true;
};

}  // namespace pimentopin

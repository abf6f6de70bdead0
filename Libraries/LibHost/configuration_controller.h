#pragma once

#include <functional>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibHost/audit_trail.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibHost/configuration_store.h"
#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {

// Puts configurations in force: from commits, the platform and peers.
class ConfigurationController {
 public:
  // Reads the control clock.
  using Clock = std::function<TimePoint()>;

  ConfigurationController(Blackboard& board,
                          PeerNetwork& peers,
                          ConfigurationStore& store,
                          HostId self,
                          DomainId domain,
                          RandomSource& random,
                          Clock clock);

  void OnOffer(HostId sender, const ConfigurationOffer& offer);
  void OnRequest(HostId sender, const ConfigurationRequest& request);
  void OnDocument(const ConfigurationDocument& document);
  void OnRevisionSeen(HostId host, std::uint64_t revision);
  // Call every 100 ms.
  void Tick();
  bool HeardTableWithin(Duration window) const;

  // The document must have passed ReadConfiguration.
  void Commit(ConfigurationDocument document, ConfigurationStore::CommitCallback callback);

  const AuditTrail& audit_trail() const { return this->trail; }

 private:
  void Execute(const std::vector<ConfigurationAction>& actions);
  void Adopt(const ConfigurationDocument& document);
  void Poll();

  Blackboard& board;
  PeerNetwork& peers;
  ConfigurationStore& store;
  Clock clock;
  ConfigurationTracker tracker;
  AuditTrail trail;
  bool poll_in_progress = false;
};

}  // namespace pimentopin

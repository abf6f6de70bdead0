#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibMembership/membership.h"
#include "Libraries/LibPeer/peer_network.h"
#include "Libraries/LibPlatform/host_list.h"

namespace pimentopin {

// Gossips, follows the platform's host list, and writes members, usable hosts,
// leaving targets and crash fingerprints to the blackboard.
class MembershipController {
 public:
  MembershipController(Blackboard& board,
                       PeerNetwork& peers,
                       HostList& host_list,
                       MemberRecord self,
                       std::vector<std::string> seed_addresses,
                       RandomSource& random);

  void OnGossip(TimePoint now, const Gossip& gossip);
  // Call every 100 ms.
  void Tick(TimePoint now);
  // Reads the host list and registers this host; call every 5 s.
  void RefreshFromHostList(TimePoint now);
  // Tells some peers at once of new leaving targets or fingerprints.
  void SpreadNotices(TimePoint now);
  void SetLeaving(TimePoint now);
  void SetConfigurationRevision(std::uint64_t revision);
  bool HeardPeerWithin(TimePoint now, Duration window) const;

 private:
  void Send(TimePoint now, const SendToHost& action);
  void Publish();
  void OnListed(TimePoint now, const std::vector<ListedHost>& listed);

  Blackboard& board;
  PeerNetwork& peers;
  HostList& host_list;
  Membership membership;
  std::vector<std::string> seed_addresses;
  RandomSource& random;
};

}  // namespace pimentopin

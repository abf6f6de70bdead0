#pragma once

#include <string>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Member table of one host, kept by gossip. It serves broker choice, spreading
// and display; no guarantee depends on it.
class Membership {
 public:
  // `self` carries name, address, domain and incarnation of this host.
  Membership(MemberRecord self, RandomSource& random);

  // Merges a gossip; returns true if the set of usable members changed.
  bool OnGossip(TimePoint now, const Gossip& gossip);
  // Adds hosts known only by name and address (settings, host list).
  void AddSeeds(TimePoint now, const std::vector<MemberRecord>& seeds);
  void SetLeaving();
  void SetConfigurationRevision(std::uint64_t revision);
  // Call every 100 ms. Due gossip goes out with empty leaving_targets and
  // fingerprints; the caller fills them in.
  std::vector<SendToHost> Tick(TimePoint now);

  const MemberRecord& self() const;
  // All known members, the own one first.
  std::vector<MemberRecord> Members() const;
  // Hosts that are alive and not leaving, the own one included unless leaving.
  std::vector<HostId> UsableHosts() const;
  // True if a gossip arrived within `window`, or no other member is known.
  bool HeardPeerWithin(TimePoint now, Duration window) const;
};

}  // namespace pimentopin

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibPlatform/row_feed.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Encodes the value of the row with which a host registers itself in the
// platform's store.
std::string EncodeHostRow(const MemberRecord& record);
// Returns nothing and sets `error` if the value is not a valid host row.
std::optional<MemberRecord> DecodeHostRow(std::string_view name,
                                          std::string_view value,
                                          Error& error);

// True if a host of `capacity` may do work for other hosts in a group whose largest
// host has the capacity `largest`. Smaller hosts would delay the others.
bool IsLargeEnoughToServe(std::uint32_t capacity, std::uint32_t largest);

// Ranks the hosts of a failure domain for work that one of them does for all, such
// as reading the store: large hosts first, in the order of rendezvous hashing.
// All hosts that know the same members return the same order.
std::vector<HostId> RankMembers(const std::vector<MemberRecord>& members);

// The hosts registered in the platform's store, with their reachability from
// this host.
class HostDirectory {
 public:
  explicit HostDirectory(MemberRecord self);

  // Applies changed rows. A row with an invalid value removes its host and adds a
  // message to `errors`.
  void Apply(const std::vector<FeedRow>& rows, std::vector<std::string>& errors);
  void SetSelfLeaving() { this->self_record.state = MemberState::kLeaving; }
  // Records whether connections from this host to `host` fail.
  void SetUnreachable(HostId host, bool unreachable);

  const MemberRecord& self() const { return this->self_record; }
  // Null if the host has no valid row; this host is never found.
  const MemberRecord* Find(HostId host) const;
  // All known hosts, this one first.
  std::vector<MemberRecord> Members() const;
  // Hosts that are reachable and not leaving, this one included.
  std::vector<HostId> UsableHosts() const;
  // Usable hosts that may work as slot brokers: of those with at least half of the largest
  // capacity among the usable hosts, the ones with at least half of the largest link bandwidth.
  std::vector<HostId> BrokerCandidates() const;
  // Reachable hosts of each failure domain, ranked by RankMembers; those that are leaving come
  // last.
  std::map<DomainId, std::vector<HostId>> RankedHostsByDomain() const;
  // True if the store holds the current record of this host. The incarnation is
  // not compared: a restart at the same address needs no new row.
  bool IsRegistered() const;

 private:
  MemberRecord self_record;
  std::optional<MemberRecord> registered_record;
  std::map<HostId, MemberRecord> others;
  std::set<HostId> unreachable;
};

}  // namespace pimentopin

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

// Value of the row by which a host registers itself in the platform's store.
std::string EncodeHostRow(const MemberRecord& record);
// Absent with a reason if the value is not one.
std::optional<MemberRecord> DecodeHostRow(std::string_view name,
                                          std::string_view value,
                                          Error& error);

// Hosts as registered in the platform's store, seen from one host.
class HostDirectory {
 public:
  explicit HostDirectory(MemberRecord self);

  // Rows whose value is not readable remove their host; `findings` names them.
  void Apply(const std::vector<FeedRow>& rows, std::vector<std::string>& findings);
  void SetSelfLeaving() { this->own_record.state = MemberState::kLeaving; }
  // Whether connections from this host to the other one fail.
  void SetUnreachable(HostId host, bool unreachable);

  const MemberRecord& self() const { return this->own_record; }
  // Null if no row names the host.
  const MemberRecord* Find(HostId host) const;
  // The own record first.
  std::vector<MemberRecord> Members() const;
  // Hosts that are reachable and not leaving.
  std::vector<HostId> UsableHosts() const;
  // The usable hosts that may take duties for others: those with at least half
  // of the largest capacity.
  std::vector<HostId> DutyHosts() const;
  std::map<DomainId, std::vector<HostId>> UsableHostsByDomain() const;
  // True if the store holds the own host as it is now. An earlier incarnation
  // at the same address needs no other row.
  bool IsRegistered() const;

 private:
  MemberRecord own_record;
  std::optional<MemberRecord> registered_self;
  std::map<HostId, MemberRecord> others;
  std::set<HostId> unreachable;
};

}  // namespace pimentopin

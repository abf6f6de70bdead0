#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// From where one target can be reached. A connect failure or time-out does not
// tell a sick target from a broken path, so it is held back per host: a later
// contact from the same host makes it evidence against the target, while
// failures without contact make the host or its failure domain unreachable.
class Reachability {
 public:
  // The target responded to an attempt that the host began at `started`. Returns
  // the number of held-back failures of this host, which now count against the
  // target.
  std::size_t RecordContact(TimePoint now, TimePoint started, HostId host, DomainId domain);
  void RecordFailure(TimePoint now, HostId host, DomainId domain);

  // Enough hosts of the domain fail, and hardly any succeeds.
  bool DomainFails(TimePoint now, DomainId domain) const;
  bool HostFails(HostId host) const;
  // Marks last 5 s, doubled per repeat up to 60 s; then traffic tries again.
  void MarkDomain(TimePoint now, DomainId domain);
  void MarkHost(TimePoint now, HostId host);
  // A probe confirms the mark of the domain.
  void ExtendDomainMark(TimePoint now, DomainId domain);
  // Forgets failures that are not marks, for a target that is tried again.
  void ForgetFailures();
  void Tick(TimePoint now);

  bool domain_marked(DomainId domain) const;
  bool host_marked(HostId host) const;
  std::vector<DomainId> unreachable_domains() const;
  // Marked hosts whose domain is not marked.
  std::vector<HostId> unreachable_hosts() const;

  // Hosts of at least two domains fail and nobody succeeds: the target is down.
  bool Down(TimePoint now) const;
  TimePoint failing_since() const { return this->first_failure; }

 private:
  struct Mark {
    std::optional<TimePoint> until;
    Duration next_length;
    TimePoint lifted_at;
    // Lifted and not yet confirmed by a contact: one failure marks again.
    bool on_trial = false;
    Mark();
    void Set(TimePoint now);
    void Lift(TimePoint now);
    void Confirm(TimePoint now);
  };
  struct HostState {
    DomainId domain{};
    std::size_t held_back = 0;
    TimePoint last_failure;
    TimePoint last_outcome;
    Mark mark;
  };

  HostState& Host(TimePoint now, HostId host, DomainId domain);

  std::map<HostId, HostState> hosts;
  std::map<DomainId, Mark> domains;
  // Failures of all hosts since the last contact of any host.
  TimePoint first_failure;
  std::size_t failures = 0;
  std::set<HostId> failing_hosts;
  std::set<DomainId> failing_domains;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Tracks from which hosts and failure domains one target can be reached. A connect
// failure or timeout does not tell a faulty target from a broken path, so it stays
// unattributed per host at first. A later response to the same host turns it into
// evidence against the target, while failures without any response mark the host or its
// failure domain as unreachable.
class Reachability {
 public:
  // Records a response to an attempt that the host began at `attempt_started`. Returns
  // the number of earlier failures of this host that now count against the target.
  std::size_t RecordResponse(TimePoint now,
                             TimePoint attempt_started,
                             HostId host,
                             DomainId domain);
  void RecordFailure(TimePoint now, HostId host, DomainId domain);

  // Returns true if enough hosts of the domain fail and hardly any succeeds.
  bool IsDomainFailing(TimePoint now, DomainId domain) const;
  bool IsHostFailing(HostId host) const;
  // Marks the path as unreachable for 5 s, doubled with each repetition up to 60 s.
  // After that, requests try the path again.
  void MarkDomainUnreachable(TimePoint now, DomainId domain);
  void MarkHostUnreachable(TimePoint now, HostId host);
  // Prolongs an existing mark of the domain after a failed probe.
  void ExtendDomainMark(TimePoint now, DomainId domain);
  // Discards failures that did not lead to a mark, for a target that leaves ejection.
  void ForgetFailures();
  void Tick(TimePoint now);

  bool domain_unreachable(DomainId domain) const;
  bool host_unreachable(HostId host) const;
  std::vector<DomainId> unreachable_domains() const;
  // Marked hosts whose failure domain is not marked.
  std::vector<HostId> unreachable_hosts() const;

  // Returns true if the target is down: hosts of at least two failure domains fail and
  // none succeeds.
  bool IsDown(TimePoint now) const;
  TimePoint failing_since() const { return this->first_failure; }

 private:
  struct UnreachableMark {
    std::optional<TimePoint> expires_at;
    Duration next_duration;
    TimePoint cleared_at;
    // The mark has expired and no response has confirmed the path yet; a single failure
    // marks it again.
    bool half_open = false;
    UnreachableMark();
    void Set(TimePoint now);
    void Clear(TimePoint now);
    void ConfirmReachable(TimePoint now);
  };
  struct HostState {
    DomainId domain{};
    std::size_t unattributed_failures = 0;
    TimePoint last_failure;
    TimePoint last_outcome;
    UnreachableMark mark;
  };

  HostState& UpdateHost(TimePoint now, HostId host, DomainId domain);

  std::map<HostId, HostState> hosts;
  std::map<DomainId, UnreachableMark> domains;
  // Failures of all hosts since the last response to any host.
  TimePoint first_failure;
  std::size_t failure_count = 0;
  std::set<HostId> failing_hosts;
  std::set<DomainId> failing_domains;
};

}  // namespace pimentopin

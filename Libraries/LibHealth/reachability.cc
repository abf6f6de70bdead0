#include "Libraries/LibHealth/reachability.h"

#include <algorithm>

namespace pimentopin {
namespace {

constexpr Duration kFirstMark = std::chrono::seconds(5);
constexpr Duration kLongestMark = std::chrono::seconds(60);
// A mark that is not repeated for this long starts at the first length again.
constexpr Duration kMarkMemory = std::chrono::minutes(10);
// Outcomes older than this no longer say how many hosts use the target.
constexpr Duration kRecent = std::chrono::seconds(60);

constexpr std::size_t kHostFailures = 3;
constexpr std::size_t kDomainFailures = 4;
constexpr std::size_t kDomainHosts = 3;
// A few deaf hosts of a domain stay below this share.
constexpr double kDomainShare = 0.6;

constexpr std::size_t kDownFailures = 6;
constexpr std::size_t kDownHosts = 3;
// A restart that drops connections for an instant is not an outage.
constexpr Duration kDownPeriod = std::chrono::milliseconds(300);

}  // namespace

Reachability::Mark::Mark() : next_length(kFirstMark) {}

void Reachability::Mark::Set(TimePoint now) {
  if (this->until) {
    return;
  }
  if (now - this->lifted_at > kMarkMemory) {
    this->next_length = kFirstMark;
  }
  this->until = now + this->next_length;
  this->next_length = std::min(kLongestMark, 2 * this->next_length);
  this->on_trial = false;
}

void Reachability::Mark::Lift(TimePoint now) {
  this->until.reset();
  this->lifted_at = now;
  this->on_trial = true;
}

void Reachability::Mark::Confirm(TimePoint now) {
  if (this->until) {
    this->Lift(now);
  }
  this->on_trial = false;
}

std::size_t Reachability::RecordContact(TimePoint now,
                                        TimePoint started,
                                        HostId host,
                                        DomainId domain) {
  if (started >= this->first_failure) {
    this->failures = 0;
    this->failing_hosts.clear();
    this->failing_domains.clear();
  }
  HostState& state = this->Host(now, host, domain);
  if (started < state.last_failure) {
    // The connection is older than the failure and proves nothing about it.
    return 0;
  }
  const auto mark = this->domains.find(domain);
  if (mark != this->domains.end() && (mark->second.on_trial || mark->second.until)) {
    // The path works again; what the other hosts of the domain held back was
    // about the path.
    mark->second.Confirm(now);
    for (auto& [id, other] : this->hosts) {
      if (other.domain == domain) {
        other.held_back = 0;
      }
    }
  }
  const bool path_was_cut = state.mark.on_trial || state.mark.until.has_value();
  state.mark.Confirm(now);
  const std::size_t released = path_was_cut ? 0 : state.held_back;
  state.held_back = 0;
  return released;
}

void Reachability::RecordFailure(TimePoint now, HostId host, DomainId domain) {
  HostState& state = this->Host(now, host, domain);
  ++state.held_back;
  state.last_failure = now;
  if (this->failures == 0) {
    this->first_failure = now;
  }
  ++this->failures;
  this->failing_hosts.insert(host);
  this->failing_domains.insert(domain);
}

bool Reachability::DomainFails(TimePoint now, DomainId domain) const {
  const auto mark = this->domains.find(domain);
  std::size_t reporting = 0;
  std::size_t failing = 0;
  std::size_t held_back = 0;
  for (const auto& [id, state] : this->hosts) {
    if (state.domain != domain || now - state.last_outcome > kRecent) {
      continue;
    }
    ++reporting;
    failing += state.held_back > 0 ? 1 : 0;
    held_back += state.held_back;
  }
  if (mark != this->domains.end() && mark->second.on_trial) {
    return held_back > 0;
  }
  // One host alone cannot speak for its domain.
  const std::size_t required = std::clamp<std::size_t>(reporting, 2, kDomainHosts);
  return failing >= required && held_back >= kDomainFailures &&
         static_cast<double>(failing) >= kDomainShare * static_cast<double>(reporting);
}

bool Reachability::HostFails(HostId host) const {
  const auto state = this->hosts.find(host);
  if (state == this->hosts.end()) {
    return false;
  }
  return state->second.held_back >= (state->second.mark.on_trial ? 1 : kHostFailures);
}

void Reachability::MarkDomain(TimePoint now, DomainId domain) {
  this->domains[domain].Set(now);
}

void Reachability::MarkHost(TimePoint now, HostId host) {
  const auto state = this->hosts.find(host);
  if (state != this->hosts.end()) {
    state->second.mark.Set(now);
  }
}

void Reachability::ExtendDomainMark(TimePoint now, DomainId domain) {
  const auto mark = this->domains.find(domain);
  if (mark != this->domains.end() && mark->second.until) {
    mark->second.until = std::max(*mark->second.until, now + kFirstMark);
  }
}

void Reachability::ForgetFailures() {
  this->failures = 0;
  this->failing_hosts.clear();
  this->failing_domains.clear();
  for (auto& [id, state] : this->hosts) {
    state.held_back = 0;
  }
}

void Reachability::Tick(TimePoint now) {
  for (auto& [domain, mark] : this->domains) {
    if (mark.until && now >= *mark.until) {
      mark.Lift(now);
      for (auto& [id, state] : this->hosts) {
        if (state.domain == domain) {
          state.held_back = 0;
        }
      }
    }
  }
  for (auto& [id, state] : this->hosts) {
    if (state.mark.until && now >= *state.mark.until) {
      state.mark.Lift(now);
      state.held_back = 0;
    }
  }
  std::erase_if(this->hosts,
                [now](const auto& entry) { return now - entry.second.last_outcome > kMarkMemory; });
}

bool Reachability::domain_marked(DomainId domain) const {
  const auto mark = this->domains.find(domain);
  return mark != this->domains.end() && mark->second.until.has_value();
}

bool Reachability::host_marked(HostId host) const {
  const auto state = this->hosts.find(host);
  return state != this->hosts.end() && state->second.mark.until.has_value();
}

std::vector<DomainId> Reachability::unreachable_domains() const {
  std::vector<DomainId> marked;
  for (const auto& [domain, mark] : this->domains) {
    if (mark.until) {
      marked.push_back(domain);
    }
  }
  return marked;
}

std::vector<HostId> Reachability::unreachable_hosts() const {
  std::vector<HostId> marked;
  for (const auto& [host, state] : this->hosts) {
    if (state.mark.until && !this->domain_marked(state.domain)) {
      marked.push_back(host);
    }
  }
  return marked;
}

bool Reachability::Down(TimePoint now) const {
  return this->failures >= kDownFailures && this->failing_hosts.size() >= kDownHosts &&
         this->failing_domains.size() >= 2 && now - this->first_failure >= kDownPeriod;
}

Reachability::HostState& Reachability::Host(TimePoint now, HostId host, DomainId domain) {
  HostState& state = this->hosts[host];
  state.domain = domain;
  state.last_outcome = now;
  return state;
}

}  // namespace pimentopin

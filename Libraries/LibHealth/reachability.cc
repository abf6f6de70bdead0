#include "Libraries/LibHealth/reachability.h"

#include <algorithm>

namespace pimentopin {
namespace {

constexpr Duration kInitialMarkDuration = std::chrono::seconds(5);
constexpr Duration kMaxMarkDuration = std::chrono::seconds(60);
// The duration of a mark starts at the initial value again if the last mark ended
// longer ago than this. Hosts without outcomes are dropped after the same time.
constexpr Duration kMarkRetention = std::chrono::minutes(10);
// Hosts without an outcome within this time do not count as users of the target.
constexpr Duration kReportingWindow = std::chrono::seconds(60);

constexpr std::size_t kMinHostFailures = 3;
constexpr std::size_t kMinDomainFailures = 4;
constexpr std::size_t kRequiredDomainHosts = 3;
// Minimum share of the hosts of a domain. A few hosts with broken paths stay below it.
constexpr double kMinFailingHostShare = 0.6;

constexpr std::size_t kMinDownFailures = 6;
constexpr std::size_t kMinDownHosts = 3;
// A restart that briefly drops connections is not an outage.
constexpr Duration kMinDownDuration = std::chrono::milliseconds(300);

}  // namespace

Reachability::UnreachableMark::UnreachableMark() : next_duration(kInitialMarkDuration) {}

void Reachability::UnreachableMark::Set(TimePoint now) {
  if (this->expires_at) {
    return;
  }
  if (now - this->cleared_at > kMarkRetention) {
    this->next_duration = kInitialMarkDuration;
  }
  this->expires_at = now + this->next_duration;
  this->next_duration = std::min(kMaxMarkDuration, 2 * this->next_duration);
  this->half_open = false;
}

void Reachability::UnreachableMark::Clear(TimePoint now) {
  this->expires_at.reset();
  this->cleared_at = now;
  this->half_open = true;
}

void Reachability::UnreachableMark::ConfirmReachable(TimePoint now) {
  if (this->expires_at) {
    this->Clear(now);
  }
  this->half_open = false;
}

std::size_t Reachability::RecordResponse(TimePoint now,
                                         TimePoint attempt_started,
                                         HostId host,
                                         DomainId domain) {
  if (attempt_started >= this->first_failure) {
    this->failure_count = 0;
    this->failing_hosts.clear();
    this->failing_domains.clear();
  }
  HostState& state = this->UpdateHost(now, host, domain);
  if (attempt_started < state.last_failure) {
    // The attempt began before the failure, so its response proves nothing about it.
    return 0;
  }
  const auto mark = this->domains.find(domain);
  if (mark != this->domains.end() && (mark->second.half_open || mark->second.expires_at)) {
    // The path works again, so the unattributed failures of the other hosts of the
    // domain were caused by the path.
    mark->second.ConfirmReachable(now);
    for (auto& [id, other] : this->hosts) {
      if (other.domain == domain) {
        other.unattributed_failures = 0;
      }
    }
  }
  const bool path_was_broken = state.mark.half_open || state.mark.expires_at.has_value();
  state.mark.ConfirmReachable(now);
  const std::size_t confirmed_failures = path_was_broken ? 0 : state.unattributed_failures;
  state.unattributed_failures = 0;
  return confirmed_failures;
}

void Reachability::RecordFailure(TimePoint now, HostId host, DomainId domain) {
  HostState& state = this->UpdateHost(now, host, domain);
  ++state.unattributed_failures;
  state.last_failure = now;
  if (this->failure_count == 0) {
    this->first_failure = now;
  }
  ++this->failure_count;
  this->failing_hosts.insert(host);
  this->failing_domains.insert(domain);
}

bool Reachability::IsDomainFailing(TimePoint now, DomainId domain) const {
  const auto mark = this->domains.find(domain);
  std::size_t reporting_count = 0;
  std::size_t failing_count = 0;
  std::size_t unattributed_failures = 0;
  for (const auto& [id, state] : this->hosts) {
    if (state.domain != domain || now - state.last_outcome > kReportingWindow) {
      continue;
    }
    ++reporting_count;
    failing_count += state.unattributed_failures > 0 ? 1 : 0;
    unattributed_failures += state.unattributed_failures;
  }
  if (mark != this->domains.end() && mark->second.half_open) {
    return unattributed_failures > 0;
  }
  // A single host is not enough evidence for a whole domain.
  const std::size_t required = std::clamp<std::size_t>(reporting_count, 2, kRequiredDomainHosts);
  return failing_count >= required && unattributed_failures >= kMinDomainFailures &&
         static_cast<double>(failing_count) >=
             kMinFailingHostShare * static_cast<double>(reporting_count);
}

bool Reachability::IsHostFailing(HostId host) const {
  const auto state = this->hosts.find(host);
  if (state == this->hosts.end()) {
    return false;
  }
  return state->second.unattributed_failures >=
         (state->second.mark.half_open ? 1 : kMinHostFailures);
}

void Reachability::MarkDomainUnreachable(TimePoint now, DomainId domain) {
  this->domains[domain].Set(now);
}

void Reachability::MarkHostUnreachable(TimePoint now, HostId host) {
  const auto state = this->hosts.find(host);
  if (state != this->hosts.end()) {
    state->second.mark.Set(now);
  }
}

void Reachability::ExtendDomainMark(TimePoint now, DomainId domain) {
  const auto mark = this->domains.find(domain);
  if (mark != this->domains.end() && mark->second.expires_at) {
    mark->second.expires_at = std::max(*mark->second.expires_at, now + kInitialMarkDuration);
  }
}

void Reachability::ForgetFailures() {
  this->failure_count = 0;
  this->failing_hosts.clear();
  this->failing_domains.clear();
  for (auto& [id, state] : this->hosts) {
    state.unattributed_failures = 0;
  }
}

void Reachability::Tick(TimePoint now) {
  for (auto& [domain, mark] : this->domains) {
    if (mark.expires_at && now >= *mark.expires_at) {
      mark.Clear(now);
      for (auto& [id, state] : this->hosts) {
        if (state.domain == domain) {
          state.unattributed_failures = 0;
        }
      }
    }
  }
  for (auto& [id, state] : this->hosts) {
    if (state.mark.expires_at && now >= *state.mark.expires_at) {
      state.mark.Clear(now);
      state.unattributed_failures = 0;
    }
  }
  std::erase_if(this->hosts, [now](const auto& entry) {
    return now - entry.second.last_outcome > kMarkRetention;
  });
}

bool Reachability::domain_unreachable(DomainId domain) const {
  const auto mark = this->domains.find(domain);
  return mark != this->domains.end() && mark->second.expires_at.has_value();
}

bool Reachability::host_unreachable(HostId host) const {
  const auto state = this->hosts.find(host);
  return state != this->hosts.end() && state->second.mark.expires_at.has_value();
}

std::vector<DomainId> Reachability::unreachable_domains() const {
  std::vector<DomainId> marked;
  for (const auto& [domain, mark] : this->domains) {
    if (mark.expires_at) {
      marked.push_back(domain);
    }
  }
  return marked;
}

std::vector<HostId> Reachability::unreachable_hosts() const {
  std::vector<HostId> marked;
  for (const auto& [host, state] : this->hosts) {
    if (state.mark.expires_at && !this->domain_unreachable(state.domain)) {
      marked.push_back(host);
    }
  }
  return marked;
}

bool Reachability::IsDown(TimePoint now) const {
  return this->failure_count >= kMinDownFailures && this->failing_hosts.size() >= kMinDownHosts &&
         this->failing_domains.size() >= 2 && now - this->first_failure >= kMinDownDuration;
}

Reachability::HostState& Reachability::UpdateHost(TimePoint now, HostId host, DomainId domain) {
  HostState& state = this->hosts[host];
  state.domain = domain;
  state.last_outcome = now;
  return state;
}

}  // namespace pimentopin

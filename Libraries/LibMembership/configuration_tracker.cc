#include "Libraries/LibMembership/configuration_tracker.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibProtocol/document_compression.h"

namespace pimentopin {
namespace {

// Minimum time between two requests to the same host.
constexpr Duration kRequestRetryInterval = std::chrono::milliseconds(300);

}  // namespace

ConfigurationTracker::ConfigurationTracker(HostId host, DomainId host_domain)
    : self(host), domain(host_domain) {}

void ConfigurationTracker::SetMembers(const std::vector<MemberRecord>& members) {
  this->members_by_domain.clear();
  for (const MemberRecord& member : members) {
    if (member.state != MemberState::kUnreachable) {
      this->members_by_domain[member.domain].push_back(member);
    }
  }
}

std::vector<ConfigurationAction> ConfigurationTracker::OnDocument(
    TimePoint now,
    const ConfigurationDocument& document,
    DocumentSource source) {
  if (document.revision <= this->revision()) {
    return {};
  }
  // The store always holds the newest revision, a peer may be behind.
  if (this->current || source == DocumentSource::kStore) {
    return this->Adopt(document, source);
  }
  if (!this->candidate || this->candidate->revision < document.revision) {
    this->candidate = document;
  }
  this->candidate_deadline = this->candidate_deadline.value_or(now + kStartupWindow);
  return {};
}

std::vector<ConfigurationAction> ConfigurationTracker::Adopt(const ConfigurationDocument& adopted,
                                                             DocumentSource source) {
  // Copied because `adopted` may refer to the candidate, which is reset below.
  const ConfigurationDocument document = adopted;
  this->current = document;
  this->compressed_current.reset();
  this->candidate.reset();
  this->candidate_deadline.reset();
  this->requested_at.clear();
  std::vector<ConfigurationAction> actions{AdoptConfiguration{document}};
  const bool forwards =
      source == DocumentSource::kStore || Contains(this->RelayHosts(this->domain), this->self);
  if (!forwards) {
    return actions;
  }
  for (const auto& [other, members] : this->members_by_domain) {
    if (other == this->domain) {
      for (const MemberRecord& member : members) {
        if (member.host != this->self) {
          actions.emplace_back(SendToHost{member.host, this->DocumentOrOffer()});
        }
      }
    } else if (source == DocumentSource::kStore) {
      for (const HostId host : this->RelayHosts(other)) {
        actions.emplace_back(SendToHost{host, ConfigurationOffer{document.revision}});
      }
    }
  }
  return actions;
}

std::vector<HostId> ConfigurationTracker::RelayHosts(DomainId relay_domain) const {
  const auto found = this->members_by_domain.find(relay_domain);
  if (found == this->members_by_domain.end()) {
    return {};
  }
  std::vector<HostId> hosts = RankMembers(found->second);
  hosts.resize(std::min(hosts.size(), kRelaysPerDomain));
  return hosts;
}

Message ConfigurationTracker::DocumentOrOffer() const {
  if (this->current->content.size() > kMaxPushedContentBytes) {
    return ConfigurationOffer{this->current->revision};
  }
  return *this->current;
}

std::vector<ConfigurationAction> ConfigurationTracker::OnRevisionSeen(TimePoint now,
                                                                      HostId host,
                                                                      std::uint64_t seen) {
  if (seen <= this->revision() || (this->candidate && seen <= this->candidate->revision)) {
    return {};
  }
  const auto last_request = this->requested_at.find(host);
  if (last_request != this->requested_at.end() &&
      now - last_request->second < kRequestRetryInterval) {
    return {};
  }
  this->requested_at[host] = now;
  return {SendToHost{host, ConfigurationRequest{this->revision()}}};
}

std::vector<ConfigurationAction> ConfigurationTracker::OnRequest(
    HostId sender,
    const ConfigurationRequest& request) {
  if (!this->current || request.known_revision >= this->current->revision) {
    return {};
  }
  if (request.accepts_compressed && this->current->content.size() > kMaxPushedContentBytes) {
    if (!this->compressed_current) {
      this->compressed_current = Compress(*this->current);
    }
    if (this->compressed_current) {
      return {SendToHost{sender, *this->compressed_current}};
    }
  }
  return {SendToHost{sender, *this->current}};
}

std::vector<ConfigurationAction> ConfigurationTracker::Tick(TimePoint now) {
  if (!this->candidate || now < *this->candidate_deadline) {
    return {};
  }
  return this->Adopt(*this->candidate, DocumentSource::kPeer);
}

std::optional<TimePoint> ConfigurationTracker::next_deadline() const {
  return this->candidate_deadline;
}

}  // namespace pimentopin

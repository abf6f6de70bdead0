#include "Libraries/LibMembership/configuration_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibProtocol/document_compression.h"

namespace pimentopin {
namespace {

// Time after which a request without a response is repeated at another host.
constexpr Duration kRequestTimeout = std::chrono::seconds(1);

}  // namespace

ConfigurationTracker::ConfigurationTracker(HostId host, DomainId host_domain)
    : self(host), domain(host_domain) {}

void ConfigurationTracker::SetMembers(const std::vector<MemberRecord>& members) {
  this->members_by_domain.clear();
  std::set<HostId> reachable;
  for (const MemberRecord& member : members) {
    if (member.state != MemberState::kUnreachable) {
      this->members_by_domain[member.domain].push_back(member);
      reachable.insert(member.host);
    }
  }
  std::erase_if(this->offers,
                [&reachable](const auto& entry) { return !reachable.contains(entry.first); });
}

std::vector<ConfigurationAction> ConfigurationTracker::OnDocument(
    TimePoint now,
    const ConfigurationDocument& document,
    DocumentSource source) {
  if (document.revision <= this->revision()) {
    return {};
  }
  // The store always holds the newest revision, a peer may be behind.
  if (this->current || source != DocumentSource::kPeer) {
    std::vector<ConfigurationAction> actions = this->Adopt(document, source);
    // Another host may have announced a revision above this one meanwhile.
    const std::vector<ConfigurationAction> requests = this->RequestNext(now);
    actions.insert(actions.end(), requests.begin(), requests.end());
    return actions;
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
  this->last_request_at.reset();
  std::vector<ConfigurationAction> actions;
  const bool forwards =
      source == DocumentSource::kStore || Contains(this->RelayHosts(this->domain), this->self);
  if (!forwards) {
    return {AdoptConfiguration{document}};
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
  // Last, because a host with little capacity takes a while to parse a large document.
  actions.emplace_back(AdoptConfiguration{document});
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

std::uint64_t ConfigurationTracker::received_revision() const {
  return std::max(this->revision(), this->candidate ? this->candidate->revision : 0);
}

std::vector<ConfigurationAction> ConfigurationTracker::OnRevisionSeen(TimePoint now,
                                                                      HostId host,
                                                                      std::uint64_t seen) {
  if (seen <= this->received_revision()) {
    return {};
  }
  Offer& offer = this->offers[host];
  offer.revision = std::max(offer.revision, seen);
  return this->RequestNext(now);
}

std::vector<ConfigurationAction> ConfigurationTracker::RequestNext(TimePoint now) {
  std::erase_if(this->offers, [this](const auto& entry) {
    return entry.second.revision <= this->received_revision();
  });
  // A second copy would only delay the first one.
  if (this->offers.empty() ||
      (this->last_request_at && now - *this->last_request_at < kRequestTimeout)) {
    return {};
  }
  const auto next = std::min_element(this->offers.begin(), this->offers.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second.requested_at < right.second.requested_at;
                                     });
  next->second.requested_at = now;
  this->last_request_at = now;
  return {SendToHost{next->first, ConfigurationRequest{this->revision()}}};
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
  if (this->candidate && now >= *this->candidate_deadline) {
    return this->Adopt(*this->candidate, DocumentSource::kPeer);
  }
  return this->RequestNext(now);
}

std::optional<TimePoint> ConfigurationTracker::next_deadline() const {
  std::optional<TimePoint> next = this->candidate_deadline;
  if (!this->offers.empty() && this->last_request_at) {
    const TimePoint repeat_at = *this->last_request_at + kRequestTimeout;
    next = std::min(next.value_or(repeat_at), repeat_at);
  }
  return next;
}

}  // namespace pimentopin

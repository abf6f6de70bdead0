#include "Libraries/LibMembership/configuration_tracker.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

// Two requests for the same revision are at least this far apart.
constexpr Duration kPullRetry = std::chrono::milliseconds(300);
// So are two pushes to a peer that is still behind.
constexpr Duration kPushRetry = std::chrono::seconds(1);
// Table reads per second of all hosts that are not readers of their domain.
constexpr Duration::rep kOtherReadsPerSecond = 100;

void Append(std::vector<ConfigurationAction>& actions, std::vector<ConfigurationAction> more) {
  std::move(more.begin(), more.end(), std::back_inserter(actions));
}

}  // namespace

ConfigurationTracker::ConfigurationTracker(HostId host, DomainId host_domain, RandomSource& source)
    : self(host), domain(host_domain), random(source) {}

void ConfigurationTracker::SetMembers(std::vector<MemberRecord> members) {
  std::map<HostId, Peer> updated;
  for (const MemberRecord& member : members) {
    if (member.host == this->self) {
      continue;
    }
    Peer& peer = updated[member.host];
    const auto known = this->peers.find(member.host);
    if (known != this->peers.end() && known->second.incarnation == member.incarnation) {
      peer = known->second;
    }
    peer.domain = member.domain;
    peer.incarnation = member.incarnation;
    peer.revision = std::max(peer.revision, member.configuration_revision);
  }
  this->peers = std::move(updated);
}

std::vector<ConfigurationAction> ConfigurationTracker::OnDocument(
    TimePoint now,
    const ConfigurationDocument& document) {
  if (document.revision <= this->revision()) {
    return {};
  }
  if (this->Starting(now)) {
    if (!this->candidate || this->candidate->revision < document.revision) {
      this->candidate = document;
    }
    return {};
  }
  return this->Adopt(now, document);
}

bool ConfigurationTracker::Starting(TimePoint now) {
  if (!this->started_at) {
    this->started_at = now;
  }
  return !this->current && now - *this->started_at < kStartWindow;
}

std::vector<ConfigurationAction> ConfigurationTracker::Adopt(TimePoint now,
                                                             const ConfigurationDocument& adopted) {
  // `adopted` may be the candidate, which is reset below.
  const ConfigurationDocument document = adopted;
  this->current = document;
  this->candidate.reset();
  std::vector<ConfigurationAction> actions{AdoptConfiguration{document}};
  std::vector<HostId> behind;
  for (const auto& [host, peer] : this->peers) {
    if (peer.revision < document.revision) {
      behind.push_back(host);
    }
  }
  std::shuffle(behind.begin(), behind.end(), this->random.generator());
  behind.resize(std::min(behind.size(), kPushFanout));
  for (const HostId host : behind) {
    Peer& peer = this->peers.at(host);
    peer.pushed_at = now;
    peer.pushed_revision = document.revision;
    actions.emplace_back(SendToHost{host, this->PushMessage()});
  }
  return actions;
}

Message ConfigurationTracker::PushMessage() const {
  if (this->current->content.size() > kMaxPushedContentBytes) {
    return ConfigurationOffer{this->current->revision};
  }
  return *this->current;
}

std::vector<ConfigurationAction> ConfigurationTracker::OnOffer(TimePoint now,
                                                               HostId sender,
                                                               const ConfigurationOffer& offer) {
  return this->OnRevisionSeen(now, sender, offer.revision);
}

std::vector<ConfigurationAction>
ConfigurationTracker::OnRequest(TimePoint, HostId sender, const ConfigurationRequest& request) {
  if (!this->current || request.known_revision >= this->current->revision) {
    return {};
  }
  return {SendToHost{sender, *this->current}};
}

std::vector<ConfigurationAction> ConfigurationTracker::OnRevisionSeen(TimePoint now,
                                                                      HostId host,
                                                                      std::uint64_t seen) {
  const auto found = this->peers.find(host);
  if (found != this->peers.end()) {
    found->second.revision = seen;
  }
  if (seen > this->revision()) {
    return this->PullFrom(now, host, seen);
  }
  if (seen == this->revision() || found == this->peers.end()) {
    return {};
  }
  // The peer may be unable to ask, if the link is cut one way.
  Peer& peer = found->second;
  const bool pushed_before = peer.pushed_at && peer.pushed_revision == this->revision();
  if (pushed_before && now - *peer.pushed_at < kPushRetry) {
    return {};
  }
  peer.pushed_at = now;
  peer.pushed_revision = this->revision();
  // An offer that had no effect is followed by the document.
  return {SendToHost{host, pushed_before ? Message(*this->current) : this->PushMessage()}};
}

std::vector<ConfigurationAction> ConfigurationTracker::PullFrom(TimePoint now,
                                                                HostId host,
                                                                std::uint64_t wanted) {
  if (wanted <= this->pulled_revision && this->pulled_at && now - *this->pulled_at < kPullRetry) {
    return {};
  }
  this->pulled_at = now;
  this->pulled_revision = std::max(this->pulled_revision, wanted);
  return {SendToHost{host, ConfigurationRequest{this->revision()}}};
}

void ConfigurationTracker::OnTableAnswered(TimePoint now) {
  this->table_answered_at = now;
}

std::vector<ConfigurationAction> ConfigurationTracker::Tick(TimePoint now) {
  std::vector<ConfigurationAction> actions;
  if (!this->Starting(now) && this->candidate) {
    Append(actions, this->Adopt(now, *this->candidate));
  }
  const Duration interval = this->PollInterval();
  if (!this->last_poll) {
    // The first poll is at once; a random phase spreads the later ones.
    const auto range = static_cast<std::uint64_t>(interval.count());
    this->last_poll = now - Duration(static_cast<Duration::rep>(this->random.Below(range)));
    actions.emplace_back(PollTable{});
  } else if (now - *this->last_poll >= interval) {
    this->last_poll = now;
    actions.emplace_back(PollTable{});
  }
  std::vector<HostId> ahead;
  for (const auto& [host, peer] : this->peers) {
    if (peer.revision > this->revision()) {
      ahead.push_back(host);
    }
  }
  if (!ahead.empty()) {
    const HostId host = ahead[this->random.Below(ahead.size())];
    Append(actions, this->PullFrom(now, host, this->peers.at(host).revision));
  } else if (!this->asked_seeds && !this->current && !this->peers.empty()) {
    // Revisions of seeds are unknown until they gossip.
    this->asked_seeds = true;
    for (const auto& [host, peer] : this->peers) {
      if (actions.size() <= kPushFanout) {
        actions.emplace_back(SendToHost{host, ConfigurationRequest{0}});
      }
    }
  }
  return actions;
}

Duration ConfigurationTracker::PollInterval() const {
  std::vector<HostId> neighbours{this->self};
  for (const auto& [host, peer] : this->peers) {
    if (peer.domain == this->domain) {
      neighbours.push_back(host);
    }
  }
  const std::vector<HostId> rank = RendezvousRank(RawId(this->domain), std::move(neighbours));
  const auto readers = std::min(kReadersPerDomain, rank.size());
  const auto end = rank.begin() + static_cast<std::ptrdiff_t>(readers);
  if (std::find(rank.begin(), end, this->self) != end) {
    return kReaderInterval;
  }
  const auto hosts = static_cast<Duration::rep>(this->peers.size() + 1);
  return std::max(kMinOtherInterval, Duration(std::chrono::seconds(hosts)) / kOtherReadsPerSecond);
}

bool ConfigurationTracker::HeardTableWithin(TimePoint now, Duration window) const {
  return this->table_answered_at && now - *this->table_answered_at <= window;
}

}  // namespace pimentopin

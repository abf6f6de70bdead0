#include "Libraries/LibHost/membership_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/json_log.h"

namespace pimentopin {
namespace {

// Bounds the size of one gossip message.
constexpr std::size_t kNoticesPerGossip = 8;
constexpr std::size_t kNoticeFanOut = 4;
constexpr Duration kSilenceBeforeSeeds = std::chrono::seconds(2);

}  // namespace

MembershipController::MembershipController(Blackboard& board,
                                           PeerNetwork& peers,
                                           HostList& host_list,
                                           MemberRecord self,
                                           std::vector<std::string> seed_addresses,
                                           RandomSource& random)
    : board(board),
      peers(peers),
      host_list(host_list),
      membership(std::move(self), random),
      seed_addresses(std::move(seed_addresses)),
      random(random) {
  this->Publish();
}

void MembershipController::OnGossip(TimePoint now, const Gossip& gossip) {
  this->membership.OnGossip(now, gossip);
  const bool new_leaving = this->board.leaving_targets.Merge(now, gossip.leaving_targets);
  this->board.fingerprints.Merge(now, gossip.fingerprints);
  this->Publish();
  if (new_leaving) {
    this->SpreadNotices(now);
  }
}

void MembershipController::Tick(TimePoint now) {
  this->board.leaving_targets.Tick(now);
  this->board.fingerprints.Tick(now);
  if (!this->membership.HeardPeerWithin(now, kSilenceBeforeSeeds) ||
      this->membership.Members().size() < 2) {
    std::vector<MemberRecord> seeds;
    for (const std::string& address : this->seed_addresses) {
      seeds.push_back({.name = address, .address = address});
    }
    this->membership.AddSeeds(now, seeds);
  }
  const std::vector<SendToHost> due = this->membership.Tick(now);
  this->Publish();
  for (const SendToHost& action : due) {
    this->Send(now, action);
  }
}

void MembershipController::Send(TimePoint now, const SendToHost& action) {
  Message message = action.message;
  if (auto* gossip = std::get_if<Gossip>(&message)) {
    gossip->leaving_targets = this->board.leaving_targets.Notices(now, kNoticesPerGossip);
    gossip->fingerprints = this->board.fingerprints.Records(now, kNoticesPerGossip);
  }
  this->peers.Send(action.host, message);
}

void MembershipController::SpreadNotices(TimePoint now) {
  std::vector<HostId> hosts;
  for (const MemberRecord& member : this->membership.Members()) {
    if (member.host != this->membership.self().host && member.state != MemberState::kDead) {
      hosts.push_back(member.host);
    }
  }
  std::shuffle(hosts.begin(), hosts.end(), this->random.generator());
  hosts.resize(std::min(hosts.size(), kNoticeFanOut));
  for (const HostId host : hosts) {
    this->Send(now, {host, Gossip{.sender = this->membership.self()}});
  }
}

void MembershipController::RefreshFromHostList(TimePoint now) {
  const MemberRecord& self = this->membership.self();
  this->host_list.Register(
      {.name = self.name,
       .address = self.address,
       .state = self.state == MemberState::kLeaving ? ListedState::kLeaving : ListedState::kLive,
       .kind = ListedKind::kHost},
      [](bool registered, const Error& error) {
        if (!registered) {
          Log(LogLevel::kWarning, "host_registration_failed", {{"error", error.message}});
        }
      });
  this->host_list.List([this, now](const auto& listed, const Error& error) {
    if (!listed) {
      Log(LogLevel::kWarning, "host_list_unavailable", {{"error", error.message}});
      return;
    }
    this->OnListed(now, *listed);
  });
}

void MembershipController::OnListed(TimePoint now, const std::vector<ListedHost>& listed) {
  std::vector<MemberRecord> seeds;
  bool new_leaving = false;
  for (const ListedHost& entry : listed) {
    if (entry.kind == ListedKind::kTarget) {
      if (entry.state == ListedState::kLeaving) {
        const auto target = IdFromName<TargetId>(entry.name);
        new_leaving |= this->board.leaving_targets.Mark(now, target);
      }
      continue;
    }
    if (entry.name != this->membership.self().name && entry.state == ListedState::kLive) {
      seeds.push_back(
          {.host = IdFromName<HostId>(entry.name), .name = entry.name, .address = entry.address});
    }
  }
  this->membership.AddSeeds(now, seeds);
  this->Publish();
  if (new_leaving) {
    this->SpreadNotices(now);
  }
}

void MembershipController::SetLeaving(TimePoint now) {
  this->membership.SetLeaving();
  this->Publish();
  this->SpreadNotices(now);
  this->RefreshFromHostList(now);
}

void MembershipController::SetConfigurationRevision(std::uint64_t revision) {
  this->membership.SetConfigurationRevision(revision);
  this->Publish();
}

bool MembershipController::HeardPeerWithin(TimePoint now, Duration window) const {
  return this->membership.HeardPeerWithin(now, window);
}

void MembershipController::Publish() {
  std::vector<MemberRecord> members = this->membership.Members();
  for (const MemberRecord& member : members) {
    if (member.host != this->membership.self().host && !member.address.empty()) {
      this->peers.SetPeer(member.host, member.address);
    }
  }
  this->board.members.Write(std::move(members));
  this->board.usable_hosts.Write(this->membership.UsableHosts());
}

}  // namespace pimentopin

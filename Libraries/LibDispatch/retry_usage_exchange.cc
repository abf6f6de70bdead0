#include "Libraries/LibDispatch/retry_usage_exchange.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibCore/rendezvous.h"
#include "Libraries/LibDispatch/broker_selector.h"

namespace pimentopin {
namespace {

// Recent counts are sent again for this time, as a message may be lost with its
// connection.
constexpr Duration kRepeatedTime = std::chrono::seconds(1);
// Services without a configuration of this host, and hosts that report though
// they are no candidates here.
constexpr std::size_t kMaxShares = 4096;
constexpr std::size_t kMaxPeers = 8;

}  // namespace

RetryUsageExchange::RetryUsageExchange(HostId self_host,
                                       RetryCounterId counter,
                                       const RetryLimits& retry_limits,
                                       Hooks service_hooks)
    : self(self_host), counter_id(counter), limits(retry_limits), hooks(std::move(service_hooks)) {}

std::vector<HostId> RetryUsageExchange::CandidatesOf(ServiceId service) const {
  std::vector<HostId> ranking = this->hooks.rank_brokers
                                    ? this->hooks.rank_brokers(service, this->members)
                                    : RendezvousRank(RawId(service), this->members);
  ranking.resize(std::min(ranking.size(), BrokerSelector::kMaxCandidates));
  return ranking;
}

RetryUsageExchange::Share& RetryUsageExchange::FindOrCreate(ServiceId service) {
  const auto [position, is_new] = this->shares.try_emplace(service);
  if (is_new) {
    const RetryLimits share =
        this->hooks.limits_of ? this->hooks.limits_of(service, this->limits) : this->limits;
    position->second.budget = std::make_shared<RetryBudget>(share, this->counter_id);
    position->second.candidates = this->CandidatesOf(service);
  }
  return position->second;
}

std::vector<HostId> RetryUsageExchange::Receivers(TimePoint now, const Share& share) const {
  std::vector<HostId> hosts = share.candidates;
  // A host that reports may be the broker for hosts that see other members.
  for (const auto& [host, peer] : share.peers) {
    if (peer.heard_at && now - *peer.heard_at < RetryBudget::kWindow && !Contains(hosts, host)) {
      hosts.push_back(host);
    }
  }
  std::erase(hosts, this->self);
  return hosts;
}

void RetryUsageExchange::SendAll(TimePoint now,
                                 ServiceId service,
                                 Share& share,
                                 HostId host,
                                 Messages& messages) {
  share.peers[host].sent_at = now;
  RetryUsage usage = share.budget->Usage(now);
  usage.service = service;
  messages.push_back({host, std::move(usage)});
}

void RetryUsageExchange::SendRecent(TimePoint now,
                                    ServiceId service,
                                    Share& share,
                                    HostId host,
                                    Messages& messages) {
  Peer& peer = share.peers[host];
  if (!peer.sent_at) {
    this->SendAll(now, service, share, host, messages);
    return;
  }
  RetryUsage usage = share.budget->OwnUsageSince(now, *peer.sent_at - kRepeatedTime);
  usage.service = service;
  peer.sent_at = now;
  messages.push_back({host, std::move(usage)});
}

std::vector<SendToHost> RetryUsageExchange::SetMembers(TimePoint now,
                                                       std::vector<HostId> eligible_hosts) {
  this->members = std::move(eligible_hosts);
  Messages messages;
  for (auto& entry : this->shares) {
    const ServiceId service = entry.first;
    Share& share = entry.second;
    const std::vector<HostId> before = std::exchange(share.candidates, this->CandidatesOf(service));
    if (before == share.candidates) {
      continue;
    }
    std::erase_if(share.peers, [&](const auto& item) {
      return !Contains(share.candidates, item.first) && !Contains(this->members, item.first);
    });
    if (Contains(share.candidates, this->self) && !Contains(before, this->self)) {
      share.budget->Resume(now);
    }
    if (!share.budget->HasUsage(now)) {
      continue;
    }
    for (const HostId host : share.candidates) {
      if (host != this->self) {
        this->SendAll(now, service, share, host, messages);
      }
    }
    share.reported_retries = share.budget->own_retries();
  }
  std::erase_if(this->shares, [now](const auto& item) {
    return item.second.budget.use_count() == 1 && !item.second.budget->HasUsage(now);
  });
  return messages;
}

std::shared_ptr<RetryBudget> RetryUsageExchange::Open(TimePoint now,
                                                      ServiceId service,
                                                      std::vector<SendToHost>& messages) {
  Share& share = this->FindOrCreate(service);
  for (const HostId host : this->Receivers(now, share)) {
    messages.push_back({host, RetryUsage{.service = service, .asks = true, .counters = {}}});
  }
  return share.budget;
}

std::vector<SendToHost> RetryUsageExchange::OnUsage(TimePoint now,
                                                    HostId sender,
                                                    const RetryUsage& usage) {
  Messages messages;
  const bool known = this->shares.contains(usage.service);
  if (!known && (usage.asks || this->shares.size() >= kMaxShares)) {
    return messages;
  }
  Share& share = this->FindOrCreate(usage.service);
  share.budget->Merge(now, usage);
  if (!share.peers.contains(sender) && share.peers.size() >= kMaxPeers) {
    std::erase_if(share.peers, [&](const auto& item) {
      return !Contains(share.candidates, item.first) &&
             !(item.second.heard_at && now - *item.second.heard_at < RetryBudget::kWindow);
    });
    if (share.peers.size() >= kMaxPeers) {
      return messages;
    }
  }
  share.peers[sender].heard_at = now;
  if (usage.asks && (share.budget->HasUsage(now) || Contains(share.candidates, this->self))) {
    this->SendAll(now, usage.service, share, sender, messages);
  }
  return messages;
}

std::vector<SendToHost> RetryUsageExchange::Tick(TimePoint now) {
  Messages messages;
  for (auto& [service, share] : this->shares) {
    if (!share.report_due_at || now < *share.report_due_at) {
      continue;
    }
    share.report_due_at.reset();
    share.reported_retries = share.budget->own_retries();
    for (const HostId host : this->Receivers(now, share)) {
      this->SendRecent(now, service, share, host, messages);
    }
  }
  return messages;
}

TimePoint RetryUsageExchange::NextDeadline(TimePoint now) {
  TimePoint next = TimePoint::max();
  for (auto& [service, share] : this->shares) {
    if (!share.report_due_at && share.budget->own_retries() != share.reported_retries) {
      share.report_due_at = now + kReportInterval;
    }
    next = std::min(next, share.report_due_at.value_or(TimePoint::max()));
  }
  return next;
}

}  // namespace pimentopin

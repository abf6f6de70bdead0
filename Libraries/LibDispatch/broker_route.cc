#include "Libraries/LibDispatch/broker_route.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

void BrokerRoute::SetRanking(std::vector<HostId> ranked_hosts) {
  this->ranking = std::move(ranked_hosts);
  if (this->ranking.size() > kCandidates) {
    this->ranking.resize(kCandidates);
  }
  const auto is_gone = [this](const auto& item) { return !this->IsCandidate(item.first); };
  std::erase_if(this->silent_until, is_gone);
  std::erase_if(this->heard_at, is_gone);
}

void BrokerRoute::OnHeard(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    this->heard_at[host] = now;
    this->silent_until.erase(host);
  }
}

void BrokerRoute::OnSilent(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    this->silent_until[host] = now + kSilencePeriod;
  }
}

std::optional<HostId> BrokerRoute::Current(TimePoint now) const {
  for (const HostId host : this->ranking) {
    const auto silent = this->silent_until.find(host);
    if (silent == this->silent_until.end() || silent->second <= now) {
      return host;
    }
  }
  return std::nullopt;
}

bool BrokerRoute::IsCandidate(HostId host) const {
  return std::find(this->ranking.begin(), this->ranking.end(), host) != this->ranking.end();
}

std::optional<TimePoint> BrokerRoute::HeardAt(HostId host) const {
  const auto position = this->heard_at.find(host);
  return position == this->heard_at.end() ? std::nullopt : std::optional(position->second);
}

}  // namespace pimentopin

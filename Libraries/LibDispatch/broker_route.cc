#include "Libraries/LibDispatch/broker_route.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/contains.h"

namespace pimentopin {

void BrokerRoute::SetRanking(std::vector<HostId> ranked_hosts) {
  this->ranking = std::move(ranked_hosts);
  if (this->ranking.size() > kCandidates) {
    this->ranking.resize(kCandidates);
  }
  const auto is_gone = [this](const auto& item) { return !this->IsCandidate(item.first); };
  std::erase_if(this->silences, is_gone);
  std::erase_if(this->heard_at, is_gone);
}

void BrokerRoute::OnHeard(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    this->heard_at[host] = now;
    this->silences.erase(host);
  }
}

void BrokerRoute::OnSilent(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    Silence& silence = this->silences[host];
    // Requests that were under way when the first one found the host silent
    // tell nothing new.
    if (silence.until <= now) {
      silence.period = std::clamp<Duration>(silence.period * 2, kSilencePeriod, kMaxSilencePeriod);
    }
    silence.until = now + silence.period;
  }
}

std::optional<HostId> BrokerRoute::Current(TimePoint now) const {
  for (const HostId host : this->ranking) {
    const auto silence = this->silences.find(host);
    if (silence == this->silences.end() || silence->second.until <= now) {
      return host;
    }
  }
  return std::nullopt;
}

bool BrokerRoute::IsCandidate(HostId host) const {
  return Contains(this->ranking, host);
}

std::optional<TimePoint> BrokerRoute::HeardAt(HostId host) const {
  const auto position = this->heard_at.find(host);
  return position == this->heard_at.end() ? std::nullopt : std::optional(position->second);
}

}  // namespace pimentopin

#include "Libraries/LibDispatch/broker_selector.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/contains.h"

namespace pimentopin {

void BrokerSelector::SetRanking(std::vector<HostId> ranked_hosts) {
  this->ranking = std::move(ranked_hosts);
  if (this->ranking.size() > kMaxCandidates) {
    this->ranking.resize(kMaxCandidates);
  }
  const auto is_removed = [this](const auto& item) { return !this->IsCandidate(item.first); };
  std::erase_if(this->backoffs, is_removed);
  std::erase_if(this->last_message_at, is_removed);
}

void BrokerSelector::OnMessageReceived(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    this->last_message_at[host] = now;
    this->backoffs.erase(host);
  }
}

void BrokerSelector::OnUnavailable(TimePoint now, HostId host) {
  if (this->IsCandidate(host)) {
    Backoff& backoff = this->backoffs[host];
    // Requests in flight when the first one timed out must not double the
    // backoff again.
    if (backoff.until <= now) {
      backoff.period = std::clamp<Duration>(backoff.period * 2, kInitialBackoff, kMaxBackoff);
    }
    backoff.until = now + backoff.period;
  }
}

std::optional<HostId> BrokerSelector::Current(TimePoint now) const {
  for (const HostId host : this->ranking) {
    const auto backoff = this->backoffs.find(host);
    if (backoff == this->backoffs.end() || backoff->second.until <= now) {
      return host;
    }
  }
  return std::nullopt;
}

bool BrokerSelector::IsCandidate(HostId host) const {
  return Contains(this->ranking, host);
}

std::optional<TimePoint> BrokerSelector::LastMessageAt(HostId host) const {
  const auto position = this->last_message_at.find(host);
  return position == this->last_message_at.end() ? std::nullopt : std::optional(position->second);
}

}  // namespace pimentopin

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Selects the host to use as broker of a service: the first of the two highest
// ranked hosts that is not in backoff.
class BrokerSelector {
 public:
  static constexpr std::size_t kMaxCandidates = 2;
  // An unavailable host is tried again after the backoff, which doubles up to
  // the maximum while the host stays unavailable, because every request that
  // tries it is delayed.
  static constexpr Duration kInitialBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(8);

  void SetRanking(std::vector<HostId> ranked_hosts);
  void OnMessageReceived(TimePoint now, HostId host);
  void OnUnavailable(TimePoint now, HostId host);

  // Returns an empty result if all candidates are in backoff; the caller then
  // chooses targets without a broker.
  std::optional<HostId> Current(TimePoint now) const;
  bool IsCandidate(HostId host) const;
  std::optional<TimePoint> LastMessageAt(HostId host) const;

 private:
  std::vector<HostId> ranking;
  struct Backoff {
    TimePoint until;
    Duration period{};
  };

  std::map<HostId, Backoff> backoffs;
  std::map<HostId, TimePoint> last_message_at;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <functional>
#include <map>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Spaces the requests to targets that stated how many requests a second they accept from all hosts
// together.
class TargetRateLimits {
 public:
  // A lower limit is exceeded by one request in this time, because only a response tells that the
  // limit has ended.
  static constexpr Duration kMaxInterval = std::chrono::seconds(10);

  // Sets the limit in requests per second; zero removes it. Requests in progress count as sent at
  // the time of the first statement.
  void SetLimit(TimePoint now, TargetId target, double rate);
  // Records a request, whether it was allowed or not.
  void RecordSend(TimePoint now, TargetId target);
  void RemoveTargets(const std::function<bool(TargetId)>& is_removed);

  bool empty() const { return this->limits.empty(); }
  bool IsLimited(TargetId target) const { return this->limits.contains(target); }
  // Requests per second that the target receives at most; zero if it is not limited.
  double Rate(TargetId target) const;
  // Whether a request may be sent by one of `senders` hosts that share the limit without knowing of
  // each other's requests.
  bool MaySend(TimePoint now, TargetId target, std::size_t senders = 1) const;

 private:
  struct Limit {
    // Time between two requests.
    Duration interval{};
    TimePoint last_sent_at;
  };

  std::map<TargetId, Limit> limits;
};

}  // namespace pimentopin

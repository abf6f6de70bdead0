#include "Libraries/LibDispatch/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {
namespace {

// Time over which the offered requests are averaged. Bursts last some seconds, and what is admitted
// before one is noticed is served late.
constexpr double kRateTimeS = 0.5;
// The same for the shares of the priorities: a shorter time includes too few requests of a rare
// one.
constexpr double kShareTimeS = 5.0;
// The same for refusals.
constexpr double kRefusalTimeS = 1.0;
// Priorities that are told apart; the least urgent ones beyond share one rate.
constexpr std::size_t kMaxPriorities = 16;
// Predictions are uncertain, and a request in the queue keeps its place unless it is clearly lost.
constexpr double kHopelessMargin = 1.5;
// Part of the objective for which requests may wait in any case, so that a service with objectives
// close to its service times keeps its slots busy.
constexpr Duration::rep kMinWaitDivisor = 4;

// Key of the priority in a map that does not grow beyond kMaxPriorities.
template <typename Map>
std::uint32_t KeyFor(const Map& rates, std::uint32_t priority) {
  return rates.size() < kMaxPriorities || rates.contains(priority) ? priority
                                                                   : rates.rbegin()->first;
}

}  // namespace

double Admission::Rate::At(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - this->updated_at));
  return this->per_s * std::exp(-age / this->time_s);
}

void Admission::Rate::Record(TimePoint now) {
  this->per_s = this->At(now) + 1.0 / this->time_s;
  this->updated_at = std::max(this->updated_at, now);
}

void Admission::RecordArrival(TimePoint now, std::uint32_t priority) {
  const std::uint32_t key = KeyFor(this->offered, priority);
  this->offered.try_emplace(key, Rate{.time_s = kRateTimeS}).first->second.Record(now);
  this->long_offered.try_emplace(key, Rate{.time_s = kShareTimeS}).first->second.Record(now);
  this->arrived_at = std::max(this->arrived_at, now);
}

double Admission::MinimumShare(std::uint32_t priority) const {
  double total = 0;
  double own = 0;
  const std::uint32_t key = KeyFor(this->offered, priority);
  for (const auto& [other, rate] : this->long_offered) {
    const double per_s = rate.At(this->arrived_at);
    total += per_s;
    own = other == key ? per_s : own;
  }
  return total > 0 ? kMinimumShareOfOffered * own / total : 0;
}

double Admission::ShareOfAtLeast(std::uint32_t priority) const {
  double less_urgent = 0;
  for (auto other = this->offered.upper_bound(priority); other != this->offered.end(); ++other) {
    less_urgent += this->MinimumShare(other->first);
  }
  return 1.0 - less_urgent;
}

double Admission::OfferedMoreUrgent(TimePoint now, std::uint32_t priority) const {
  double per_s = 0;
  for (auto other = this->offered.begin(); other != this->offered.end() && other->first < priority;
       ++other) {
    per_s += other->second.At(now);
  }
  return per_s;
}

std::optional<Duration> Admission::ExpectedWait(TimePoint now, const AdmissionCase& request) const {
  if (request.capacity_per_s <= 0) {
    return std::nullopt;
  }
  const double equal = static_cast<double>(request.position.equal) + 1;
  const double ahead = equal + static_cast<double>(request.position.more_urgent);
  // More urgent requests that arrive meanwhile are served before.
  const double left_per_s = request.capacity_per_s * this->ShareOfAtLeast(request.priority) -
                            this->OfferedMoreUrgent(now, request.priority);
  const double minimum_per_s = request.capacity_per_s * this->MinimumShare(request.priority);
  constexpr double kMaxWaitS = 3600;
  double wait_s = kMaxWaitS;
  if (left_per_s > 0) {
    wait_s = std::min(wait_s, ahead / left_per_s);
  }
  if (minimum_per_s > 0) {
    wait_s = std::min(wait_s, equal / minimum_per_s);
  }
  return FromSeconds(wait_s);
}

bool Admission::IsOverloaded(TimePoint now, const AdmissionCase& request) const {
  const auto own = this->offered.find(KeyFor(this->offered, request.priority));
  const double own_per_s = own == this->offered.end() ? 0 : own->second.At(now);
  return this->OfferedMoreUrgent(now, request.priority) + own_per_s >
         request.capacity_per_s * this->ShareOfAtLeast(request.priority);
}

Duration Admission::WaitLimit(TimePoint now, const AdmissionCase& request) const {
  const Duration until_deadline = request.budget - request.service_time;
  if (request.objective <= Duration::zero() || !this->IsOverloaded(now, request)) {
    return until_deadline;
  }
  // A request that waits longer takes the place of a later one that would be on time. Few requests
  // take more than twice the expected time.
  const Duration until_objective = std::max<Duration>(request.objective - 2 * request.service_time,
                                                      request.objective / kMinWaitDivisor);
  return std::min(until_deadline, until_objective);
}

bool Admission::IsTooLate(TimePoint now, const AdmissionCase& request) const {
  const std::optional<Duration> wait = this->ExpectedWait(now, request);
  return wait && *wait > this->WaitLimit(now, request);
}

bool Admission::IsHopeless(TimePoint now, const AdmissionCase& request) const {
  const std::optional<Duration> wait = this->ExpectedWait(now, request);
  return wait && *wait > kHopelessMargin *
                             std::max(request.budget - request.service_time, Duration::zero());
}

Duration Admission::RetryAfter(TimePoint now, const AdmissionCase& request) {
  Rate& recently_refused =
      this->refused
          .try_emplace(KeyFor(this->refused, request.priority), Rate{.time_s = kRefusalTimeS})
          .first->second;
  recently_refused.Record(now);
  const Duration wait = this->ExpectedWait(now, request).value_or(Duration::zero());
  const Duration excess = std::max(wait - this->WaitLimit(now, request), Duration::zero());
  // As many callers return in a second as the service completes requests.
  const double spread_s = request.capacity_per_s > 0
                              ? recently_refused.At(now) * kRefusalTimeS / request.capacity_per_s
                              : 0;
  const double part = HashFraction(StableHash(RawId(request.attempt), 0));
  return std::clamp<Duration>(excess + FromSeconds(std::min(spread_s, 3600.0) * part),
                              kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace pimentopin

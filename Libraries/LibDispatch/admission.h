#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Numbers of entries in the queue that are served before a request.
struct QueuePosition {
  // Entries of more urgent priorities.
  std::size_t more_urgent = 0;
  // Entries of the same priority.
  std::size_t equal = 0;

  friend bool operator==(const QueuePosition&, const QueuePosition&) = default;
};

// What the broker knows about a request that waits or wants to.
struct AdmissionCase {
  AttemptId attempt{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  QueuePosition position;
  // Requests of the same class that the service completes in a second; zero if unknown.
  double capacity_per_s = 0;
  // Expected time from the grant to the response.
  Duration service_time{};
  // Time until the caller's deadline.
  Duration budget{};
  // Time after which a response is of less value to the caller; zero if there is none.
  Duration objective{};

  friend bool operator==(const AdmissionCase&, const AdmissionCase&) = default;
};

// Decides whether a request may wait, which share of the grants its priority gets at least, and
// when a refused one should return. Order: the most urgent priority first, but each priority that
// waits gets its minimum share.
class Admission {
 public:
  // A priority gets at least this fraction of its share of the offered requests as its share of the
  // grants. Callers need a quarter; the rest covers attempts that fail.
  static constexpr double kMinimumShareOfOffered = 0.3;
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

  void RecordArrival(TimePoint now, std::uint32_t priority);

  // Share of the grants that the priority gets at least while requests of it wait.
  double MinimumShare(std::uint32_t priority) const;
  // Time until the grant; empty if it cannot be predicted.
  std::optional<Duration> ExpectedWait(TimePoint now, const AdmissionCase& request) const;
  // Whether a new request would be served so late that it must be refused. While more is offered
  // than can be served, requests must meet their objective; otherwise, their deadline.
  bool IsTooLate(TimePoint now, const AdmissionCase& request) const;
  // Whether a request in the queue can no longer be served before its deadline.
  bool IsHopeless(TimePoint now, const AdmissionCase& request) const;
  // Time until a request of this priority is expected to be admitted. Refusals of the last second
  // are spread, so that their callers do not return together.
  Duration RetryAfter(TimePoint now, const AdmissionCase& request);

 private:
  // Events per second, as an exponentially weighted average.
  struct Rate {
    double time_s = 1;
    double per_s = 0;
    TimePoint updated_at;

    double At(TimePoint now) const;
    void Record(TimePoint now);
  };

  // Share of the capacity that is left to the priority and more urgent ones.
  double ShareOfAtLeast(std::uint32_t priority) const;
  double OfferedMoreUrgent(TimePoint now, std::uint32_t priority) const;
  bool IsOverloaded(TimePoint now, const AdmissionCase& request) const;
  // Longest wait with which a request is served soon enough.
  Duration WaitLimit(TimePoint now, const AdmissionCase& request) const;

  std::map<std::uint32_t, Rate> offered;
  std::map<std::uint32_t, Rate> long_offered;
  std::map<std::uint32_t, Rate> refused;
  TimePoint arrived_at;
};

}  // namespace pimentopin

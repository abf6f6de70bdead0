#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin::bench {

// State of one request, recorded independently of the dispatchers.
struct TrackedRequest {
  RequestDescription description;
  TimePoint intended_arrival;
  std::uint32_t started_attempts = 0;
  // Attempts that a target has begun to run.
  std::uint32_t runs = 0;
  std::uint32_t responses = 0;
  std::uint32_t open_attempts = 0;
  // The last response forwarded to the caller was wrong or truncated.
  bool bad_response = false;
  bool finished = false;
  FinishRequest finish;
  // Time at which the caller received the response or the refusal.
  TimePoint ended_at;
};

struct RequestCounts {
  std::uint64_t requests = 0;
  // Requests with a complete successful response.
  std::uint64_t complete = 0;
  // Requests with a complete response that reports a server error.
  std::uint64_t server_errors = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  // Requests that ended after the caller's deadline.
  std::uint64_t late = 0;
  std::uint64_t retried = 0;
  // Idempotent requests that ran more than once.
  std::uint64_t idempotent_run_again = 0;
  // Violations of the invariants; zero in a correct simulation.
  std::uint64_t non_idempotent_run_twice = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t duplicate_responses = 0;

  std::uint64_t violations() const {
    return this->non_idempotent_run_twice + this->false_not_run + this->duplicate_responses;
  }
};

// Records which requests the targets ran and which results the callers received,
// and counts violations of the invariants. A request is erased once it is
// finished and has no open attempts.
class RequestTracker {
 public:
  // Called once per request, when the caller receives its response or refusal.
  std::function<void(const TrackedRequest&)> on_finished;

  void OnRequestSubmitted(const RequestDescription& description, TimePoint intended_arrival);
  void OnAttemptStarted(RequestId request);
  void OnRunStarted(RequestId request);
  void OnAttemptEnded(RequestId request);
  void OnResponseForwarded(RequestId request);
  // The response that was being forwarded proved to be wrong or truncated.
  void OnBadResponseForwarded(RequestId request);
  void OnRequestFinished(const FinishRequest& finish, TimePoint ended_at);

  const RequestCounts& counts() const { return this->request_counts; }
  std::size_t open_requests() const { return this->requests.size(); }

 private:
  TrackedRequest* Find(RequestId request);
  void EraseIfDone(RequestId request);

  std::map<RequestId, TrackedRequest> requests;
  RequestCounts request_counts;
};

}  // namespace pimentopin::bench

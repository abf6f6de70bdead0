#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin::bench {

// One request as seen from outside the dispatchers.
struct ObservedRequest {
  RequestDescription description;
  TimePoint intended;
  std::uint32_t starts = 0;
  // Attempts that a target began to run.
  std::uint32_t runs = 0;
  std::uint32_t answers = 0;
  std::uint32_t open_attempts = 0;
  // The last answer forwarded to the caller was wrong or cut.
  bool bad_answer = false;
  bool finished = false;
  FinishRequest finish;
  // When the caller had the answer or the refusal.
  TimePoint ended;
};

struct ObserverCounts {
  std::uint64_t requests = 0;
  // Complete successful answers.
  std::uint64_t complete = 0;
  // Complete answers with a server error.
  std::uint64_t server_errors = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  // Ended after the caller's deadline.
  std::uint64_t late = 0;
  std::uint64_t retried = 0;
  // Idempotent requests that ran at more than one target.
  std::uint64_t run_again = 0;
  // Violations of the invariants; zero in a correct run.
  std::uint64_t non_idempotent_run_twice = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t answered_twice = 0;

  std::uint64_t violations() const {
    return this->non_idempotent_run_twice + this->false_not_run + this->answered_twice;
  }
};

// Independent record of what targets ran and what callers were told. Requests
// are forgotten when they are finished and none of their attempts is open.
class Observer {
 public:
  // Called once per request when the caller has its answer or refusal.
  std::function<void(const ObservedRequest&)> on_finished;

  void Begin(const RequestDescription& description, TimePoint intended);
  void AttemptStarted(RequestId request);
  void RunStarted(RequestId request);
  void AttemptEnded(RequestId request);
  void Forwarded(RequestId request);
  // The forwarded answer turned out to be wrong or cut.
  void ForwardedBadly(RequestId request);
  void Finished(const FinishRequest& finish, TimePoint ended);

  const ObserverCounts& counts() const { return this->totals; }
  std::size_t open_requests() const { return this->requests.size(); }

 private:
  ObservedRequest* Find(RequestId request);
  void ForgetIfDone(RequestId request);

  std::map<RequestId, ObservedRequest> requests;
  ObserverCounts totals;
};

}  // namespace pimentopin::bench

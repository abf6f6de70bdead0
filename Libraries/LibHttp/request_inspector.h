#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/request_limits.h"
#include "Libraries/LibHttp/body_budget.h"

namespace pimentopin {

// Reason for refusing a request and the HTTP status that reports it.
struct RequestRefusal {
  int status = 400;
  std::string reason;
  std::string message;

  friend bool operator==(const RequestRefusal&, const RequestRefusal&) = default;
};

// Parses the bytes received on one connection and detects requests that must be refused. RESTinio
// would close such a connection without a response.
class RequestInspector {
 public:
  // Reserves the bytes of request bodies in `budget` before they are accepted.
  RequestInspector(const RequestLimits& limits, std::shared_ptr<BodyBudget> budget);
  ~RequestInspector();
  RequestInspector(RequestInspector&&) noexcept;
  RequestInspector& operator=(RequestInspector&&) noexcept;

  struct Result {
    // Number of leading bytes that belong to requests; the rest must be ignored. With a refusal,
    // those of the requests that end before the one that is refused.
    std::size_t accepted_bytes = 0;
    std::optional<RequestRefusal> refusal;
  };

  // Parses the next bytes of the connection. Must not be called again after it has returned a
  // refusal.
  Result Inspect(std::string_view bytes);

  // Sets the limits of the requests that begin later.
  void SetLimits(const RequestLimits& limits);

  // True between the first byte and the end of a request.
  bool in_request() const;
  // True between the end of the header section and the end of a request.
  bool in_body() const;
  // Number of requests received completely.
  std::uint64_t complete_requests() const;
  // Takes the reservation for the body of the first complete request whose reservation has not been
  // taken yet; empty if there is none.
  BodyReservation TakeReservation();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHost/content_digest.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibHost/http_dialect.h"
#include "Libraries/LibHost/response_budget.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// What an attempt saw of its connection and of its response, for the log.
struct AttemptTrace {
  ConnectionUse connection;
  // Status of the response; 0 if there was none.
  int status = 0;
  NamedRequest named_request = NamedRequest::kNone;

  friend bool operator==(const AttemptTrace&, const AttemptTrace&) = default;
};

// Sends the request of one attempt to a target and relays the response to the caller. Body
// bytes go from the HTTP client's thread directly to the responder, without passing through
// the control thread. Bytes that arrive before Forward() are buffered.
class AttemptTransfer : public std::enable_shared_from_this<AttemptTransfer> {
 public:
  struct Callbacks {
    // Both are called on the HTTP client's thread.
    std::function<void(const AttemptHeader&)> on_header;
    std::function<void(const AttemptEnd&)> on_end;
  };

  // `dialect` must outlive the transfer.
  AttemptTransfer(std::shared_ptr<Exchange> exchange,
                  TargetAttempt attempt,
                  const HttpDialect& dialect,
                  std::shared_ptr<ResponseBudget> response_budget,
                  Callbacks callbacks);

  // Sends the request to `address` (IP:port).
  void Start(HttpClient& client, const std::string& address);
  void Cancel();
  // Starts the response to the caller with the bytes received so far. Later bytes are
  // written as they arrive.
  void Forward();
  // Call when the caller has disconnected. The rest of the response is read but not
  // written.
  void DiscardBody();
  // Ends the response to the caller. Call only after on_end and Forward().
  void FinishResponse();
  // Status code of the target's response; 0 before its header has arrived.
  int status_code();
  AttemptTrace Trace();
  // Status, headers and body to store for replays of a keyed request.
  StoredResponse TakeStoredResponse();

 private:
  void OnConnection(const ConnectionUse& use);
  // False if the response does not belong to the request or must not be forwarded.
  bool OnHeaders(int status, const HttpHeaders& received);
  void OnBody(std::string bytes);
  void OnEnd(const TransferResult& result);
  void WriteLocked(std::string bytes);
  void OnWritten(std::size_t bytes);
  // To be called when the held bytes have changed.
  void UpdateReservationLocked();
  // Whether the response holds so much that reading from the target pauses.
  bool MustPauseLocked();
  // Continues to read from the target if the caller has read enough.
  void ResumeLocked();
  AttemptResult ResultLocked(const TransferResult& result);
  // Empty if the response does not tell whether the target limits the rate of its requests.
  std::optional<double> StatedRateLimitLocked() const;
  bool HasNoBody() const;
  // True if the declared length is small enough to buffer the whole response before
  // forwarding it.
  bool BuffersUntilComplete() const;

  const std::shared_ptr<Exchange> exchange;
  const TargetAttempt attempt;
  const HttpDialect& dialect;
  const std::shared_ptr<ResponseBudget> budget;
  const Callbacks callbacks;

  std::mutex mutex;
  ResponseReservation reservation;
  // The response is forwarded only once it is complete, so reading it must not pause.
  bool header_deferred = false;
  std::shared_ptr<Transfer> transfer;
  int status = 0;
  HttpHeaders headers;
  TargetResponseInfo response_info;
  ConnectionUse connection;
  std::optional<ContentDigest> digest;
  // Bytes received before Forward().
  std::string buffered_body;
  // Bytes passed to the responder that have not been sent yet.
  std::size_t unsent_bytes = 0;
  bool forwarding = false;
  // The transfer ended without an error.
  bool complete = false;
  // The response is written by one Respond() call, with its length.
  bool single_write = false;
  bool discarding = false;
  bool paused = false;
  // Body of a keyed request's response; absent if it exceeds the size limit.
  std::optional<std::string> stored_body;
};

}  // namespace pimentopin

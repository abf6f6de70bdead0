#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_body.h"
#include "Libraries/LibHttp/http_message.h"

namespace pimentopin {

struct HttpClientRequest {
  std::string method;
  // http://IP:port/path?query
  std::string url;
  HttpHeaders headers;
  HttpBody body;
  // Time from Start() to the end of the response.
  Duration timeout{};
  // Additional time if the header of the response arrives within `timeout`.
  Duration body_timeout{};
  // Accepts a body that is delimited only by the end of the connection as complete.
  bool accept_close_delimited_body = false;
  // Id of the request that the peer repeats in its response. No connection carries the same id
  // twice, as a late copy of the first response could not be told from the second one. A request
  // with an empty id has a connection of its own. Not set if responses name no request.
  std::optional<std::string> echoed_id;
};

// The connection on which a request is sent.
struct ConnectionUse {
  // Port of this end. With the peer's address, it identifies the connection.
  int local_port = 0;
  // Number of requests that the connection has carried before this one.
  std::size_t earlier_requests = 0;
  // Idle connections that were closed instead, as they had carried the same id.
  std::size_t avoided_connections = 0;

  friend bool operator==(const ConnectionUse&, const ConnectionUse&) = default;
};

enum class TransferError {
  kNone,
  // No connection was established; nothing was sent.
  kConnectFailure,
  // The connection closed after sending began and before the response headers were complete.
  kConnectionLost,
  // The connection closed before the response body was complete.
  kTruncated,
  kTimeout,
  kMalformed,
  // on_headers has rejected the response.
  kRejected,
  kCancelled,
};

struct TransferResult {
  TransferError error = TransferError::kNone;
  // False only if no byte of the request can have reached the peer.
  bool may_have_been_sent = false;
  // Time from Start() to the end of the transfer.
  Duration elapsed{};
};

struct TransferCallbacks {
  // Called at most once, before the request is sent.
  std::function<void(const ConnectionUse& use)> on_connection;
  // Called at most once, with the status and headers of the final response. False rejects it:
  // on_end follows, and the connection is closed, as the response to the request may still arrive
  // on it.
  std::function<bool(int status, const HttpHeaders& headers)> on_headers;
  std::function<void(std::string bytes)> on_body;
  // Called exactly once, after all other callbacks.
  std::function<void(const TransferResult& result)> on_end;
};

// Handle to a transfer. All functions are thread-safe.
class Transfer {
 public:
  virtual ~Transfer() = default;
  // Closes the connection and calls on_end with kCancelled, unless the transfer has already ended.
  virtual void Cancel() = 0;
  // Pauses and resumes on_body and reading from the peer, to limit the amount of buffered data.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct HttpClientSettings {
  // Maximum number of open connections per address, including idle ones. Further requests wait for
  // a free one, and their timeout runs. 0 for no limit.
  std::size_t max_connections_per_address = 300;
  // Maximum number of connections per address that are kept for reuse. A request that needs one
  // more closes it after its response.
  std::size_t max_kept_connections_per_address = 300;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Idle time before the first TCP keep-alive probe. Shorter values detect an unresponsive peer
  // sooner.
  std::chrono::seconds keep_alive_idle_time{5};
};

// HTTP/1.1 client that runs a libcurl multi handle on an Asio event loop with one thread. Callbacks
// run on that thread. A request is never sent twice.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(HttpClientSettings settings);
  virtual ~HttpClient() = default;

  virtual std::shared_ptr<Transfer> Start(HttpClientRequest request,
                                          TransferCallbacks callbacks) = 0;
};

}  // namespace pimentopin

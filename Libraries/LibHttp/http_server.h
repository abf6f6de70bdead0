#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/request_limits.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_body.h"
#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibHttp/request_inspector.h"

namespace pimentopin {

inline constexpr std::size_t kDefaultMaxHeldBodyBytes = 128 << 20;
inline constexpr std::size_t kDefaultMaxHeldResponseBytes = 16 << 20;

// A request with its complete body.
struct HttpServerRequest {
  std::string method;
  // Path without the query string; always starts with '/'.
  std::string path;
  std::string query;
  HttpHeaders headers;
  HttpBody body;
};

// Sends the response to one request. All functions are thread-safe and take effect in the order of
// the calls. Destroying the object before End() closes the connection without terminating the
// response.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Starts a streamed response (chunked transfer coding). If the caller sends requests before it
  // has read the last response, it is held back until it is complete, within limits of time and
  // size.
  virtual void Start(int status, HttpHeaders headers) = 0;
  // Calls `written` after the bytes have been written to the socket, or are held back.
  virtual void Write(std::string bytes, std::function<void()> written) = 0;
  virtual void End() = 0;
  // Resets the connection so that the caller cannot mistake the response for a complete one.
  // Discards bytes that have not been written yet.
  virtual void Abort() = 0;
  // Sends a complete response.
  virtual void Respond(int status, HttpHeaders headers, std::string body) = 0;
  // Sends a complete response in place of one that was started, if nothing of that has been sent.
  // Otherwise resets the connection like Abort().
  virtual void Replace(int status, HttpHeaders headers, std::string body) = 0;
  // Sets a callback that a server thread calls when the caller's connection closes before End(). A
  // caller that shuts down only its sending side also counts as disconnected.
  virtual void OnCallerDisconnect(std::function<void()> callback) = 0;
};

// A request that the server refused without calling the handler.
struct RefusedRequest {
  RequestRefusal refusal;
  // Complete requests that the connection had carried before.
  std::uint64_t earlier_requests = 0;
  // False if the connection ended before the error response, which follows the responses to earlier
  // requests.
  bool response_sent = true;

  friend bool operator==(const RefusedRequest&, const RefusedRequest&) = default;
};

// What the server has read and discarded on one connection after it had closed it for sending.
struct DiscardedInput {
  std::size_t bytes = 0;
  Duration arrived_after_close{};
  Duration ended_after_close{};

  friend bool operator==(const DiscardedInput&, const DiscardedInput&) = default;
};

struct HttpServerSettings {
  // IP:port; with port 0 the kernel assigns a port.
  std::string address;
  std::size_t threads = 1;
  RequestLimits limits;
  // Maximum number of concurrent requests; further requests receive status 503.
  std::size_t max_concurrent_requests = 4096;
  // Maximum sum of the request bodies in memory, from their announcement in the header until the
  // handler has destroyed the last copy. Bodies that do not fit are refused with status 503 before
  // they are read, and those that never fit with 413. Bodies larger than
  // BodyBudget::kSmallBodyBytes leave an eighth free.
  std::size_t max_held_body_bytes = kDefaultMaxHeldBodyBytes;
  // Maximum sum of the responses that are held back until they are complete. Others are sent as
  // they arrive.
  std::size_t max_held_response_bytes = kDefaultMaxHeldResponseBytes;
  // Called on a server thread.
  std::function<void(const RefusedRequest&)> on_refusal = [](const RefusedRequest&) {};
  // Called on a server thread, at most once for each connection.
  std::function<void(const DiscardedInput&)> on_discarded_input = [](const DiscardedInput&) {};
};

// HTTP/1.1 server based on RESTinio with its own threads.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServerRequest, std::shared_ptr<HttpResponder>)>;

  // Binds the address and starts the threads; null, with the reason in `error`, if the address
  // cannot be used.
  static std::unique_ptr<HttpServer> Create(HttpServerSettings settings,
                                            Handler handler,
                                            Error& error);
  virtual ~HttpServer() = default;

  // Bound address as IP:port.
  virtual std::string address() const = 0;
  // Number of requests on open connections whose response has been neither written completely nor
  // aborted.
  virtual std::size_t requests_in_progress() const = 0;
  // Number of caller connections that the process must not leave yet: those that are open, and
  // those that are closed whose callers may lack part of the last response. After StopListening(),
  // each open one has a request in progress or partly received, or unread responses.
  virtual std::size_t open_connections() const = 0;
  // Bytes that count toward max_held_body_bytes.
  virtual std::size_t held_body_bytes() const = 0;
  // Bytes that count toward max_held_response_bytes.
  virtual std::size_t held_response_bytes() const = 0;
  // Replaces the limits. Size limits apply to requests that begin later. max_body_bytes cannot
  // exceed the value in the server's settings.
  virtual void SetLimits(const RequestLimits& limits) = 0;
  // Closes each connection after the response to the last request that it has carried, so that
  // callers reconnect to other hosts. Later requests on it are discarded without being handled. A
  // streamed response leaves its connection open for one more request, as does one that is far
  // from being read by a caller that pipelines requests.
  virtual void DisableKeepAlive() = 0;
  // Closes the listening socket and idle keep-alive connections; requests in progress continue. A
  // connection whose caller pipelines requests is closed when the caller is about to have read its
  // responses, or at the latest when the process is about to end.
  virtual void StopListening(std::optional<TimePoint> process_end) = 0;
};

}  // namespace pimentopin

#include "Libraries/LibHttp/http_server.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <asio/bind_executor.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <restinio/http_server.hpp>
#include <restinio/message_builders.hpp>
#include <restinio/null_timer_manager.hpp>
#include <restinio/settings.hpp>
#include <restinio/traits.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <future>
#include <iterator>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "Libraries/LibHttp/body_budget.h"
#include "Libraries/LibHttp/request_inspector.h"
#include "Libraries/LibHttp/response_head.h"

namespace pimentopin {
namespace {

struct SerialisedResponse {};

}  // namespace
}  // namespace pimentopin

namespace restinio {

// Sends responses whose header and framing are already serialised. The builders of RESTinio cannot
// respond to HEAD with a length, and they write the last chunk even for a response without a body.
template <>
class response_builder_t<pimentopin::SerialisedResponse> final
    : public base_response_builder_t<response_builder_t<pimentopin::SerialisedResponse>> {
 public:
  using base_response_builder_t<
      response_builder_t<pimentopin::SerialisedResponse>>::base_response_builder_t;
  response_builder_t(response_builder_t&&) = default;

  bool should_keep_alive() const { return this->m_header.should_keep_alive(); }

  void Send(writable_items_container_t items,
            bool is_final,
            bool keep_alive,
            write_status_cb_t written) {
    write_group_t group(std::move(items));
    if (written) {
      group.after_write_notificator(std::move(written));
    }
    const response_output_flags_t flags{
        is_final ? response_parts_attr_t::final_parts : response_parts_attr_t::not_final_parts,
        response_connection_attr(keep_alive)};
    this->m_connection->write_response_parts(this->m_request_id, flags, std::move(group));
  }
};

}  // namespace restinio

namespace pimentopin {
namespace {

using Strand = restinio::default_strand_t;
using ResponseBuilder = restinio::response_builder_t<SerialisedResponse>;

// Maximum number of concurrent requests on one connection. With a value above 1, RESTinio continues
// to read while a request is in progress, which is how it detects that the caller has closed the
// connection.
constexpr std::size_t kMaxPipelinedRequests = 16;

// Closing a connection with unread bytes resets it, and the caller may lose the response. After
// refusing a request, the server therefore keeps reading for this long.
constexpr std::chrono::seconds kRefusalDrainTime(1);

// The same for a connection that the server closes after a response, if the peer is slow to read
// it or still sends.
constexpr std::chrono::seconds kMaxLingerTime(10);

constexpr std::chrono::milliseconds kDeliveryCheckInterval(5);

// A read that has taken its bytes from the socket may still wait for the strand, so a connection
// that seems idle is closed only if it is still idle after this time.
constexpr std::chrono::milliseconds kIdleCloseDelay(20);

// The same on a connection with pipelined requests, whose caller may have received responses that
// it has yet to read, and sends more requests in the meantime.
constexpr std::chrono::milliseconds kPipelinedIdleCloseDelay(300);

// Time after the end of listening from which connections with pipelined requests are closed like
// others, if the process is not told until when it runs. One whose caller always has further
// requests outstanding stays open until the process ends.
constexpr std::chrono::milliseconds kMaxPipeliningTime(500);

// A caller that sends requests before it has read the last response sends more until it reads that
// the connection closes. Bytes that it may have to read until then, at most.
constexpr std::size_t kMaxUnreadBytesAtClose = 16 * 1024;

// Limits on a response that is held back until it is complete.
constexpr std::size_t kMaxHeldResponseBytes = 1 << 20;
constexpr std::chrono::seconds kMaxHoldTime(1);

constexpr std::chrono::milliseconds kListenerCheckInterval(1);

// RESTinio accepts nothing more after accept() has failed. The end of listening gives up after this
// number of checks; a time limit would count the time in which the process does not run.
constexpr int kMaxChecksWithoutAccept = 1000;

thread_local bool is_server_thread = false;

class ConnectionRegistry;
class ResponseWriter;
class ServerSocket;

// State of one connection in addition to RESTinio's own. All functions except the constructor,
// id(), strand() and Post() run on the connection's strand.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::uint64_t id,
                   ServerSocket& socket,
                   Strand strand,
                   std::weak_ptr<void> restinio_connection,
                   ConnectionRegistry& registry)
      : connection_id(id),
        socket(socket),
        connection_strand(std::move(strand)),
        restinio_connection(std::move(restinio_connection)),
        registry(registry),
        timer(connection_strand),
        idle_close_timer(connection_strand) {}

  std::uint64_t id() const { return this->connection_id; }
  const Strand& strand() const { return this->connection_strand; }
  bool closed() const { return this->is_closed; }
  bool has_pending_responses() const { return !this->pending_responses.empty(); }
  RequestLimits limits() const;
  void ReportRefusal(const RequestRefusal& refusal, bool response_sent) const;

  // Starts enforcing the time limits of the connection.
  void StartTimer();
  // Called when part of a request has been received.
  void OnPartialRequest();

  // Runs a function on the strand if the socket still exists.
  template <typename Function>
  void Post(Function function) {
    asio::post(this->connection_strand, [self = this->shared_from_this(),
                                         function = std::move(function)]() mutable {
      if (const std::shared_ptr<void> live_connection = self->restinio_connection.lock()) {
        function(*self);
      }
    });
  }

  void AddResponse(std::shared_ptr<ResponseWriter> writer);
  void RemoveResponse(const ResponseWriter* writer);
  // True if the responses to all earlier requests have been written.
  bool IsFirst(const ResponseWriter* writer) const {
    return this->pending_responses.empty() || this->pending_responses.front().get() == writer;
  }
  // Callers send the requests behind a response that closes the connection again, whatever their
  // kind. Only the response to the last request that was received may therefore close it, and on a
  // connection with pipelined requests only if the caller soon reads it. `size` is that of the
  // body in bytes.
  bool MayCloseAfter(const ResponseWriter* writer, std::size_t size) const;
  // Called when a response states that it closes the connection. Requests that arrive later are
  // discarded.
  void SetClosing() { this->is_closing = true; }
  bool closing() const { return this->is_closing; }
  // True if the caller has sent a request before it had received the response to an earlier one.
  bool pipelined() const { return this->pipelines; }
  void DiscardRequest() { ++this->requests_handled; }
  // Takes the reservation for the body of the request that RESTinio passes on.
  BodyReservation TakeBodyReservation();
  // Runs the function when no response is outstanding, unless the connection is closed before.
  void RunAfterResponses(std::function<void()> function);
  // Closes the connection with a reset, so that a caller that treats the end of the stream as the
  // end of the response detects an error.
  void Reset();
  // Closes the connection if it is idle and the server has stopped listening.
  void CloseIfIdle();
  void CloseOrReset();
  // Closes the connection gracefully, so that written data is delivered; has no effect on a closed
  // connection.
  void Close();
  // Called after either side has closed the socket.
  void OnClosed();

 private:
  // Checks the time limits after `delay`; keeps an earlier check if one is already scheduled.
  void ScheduleTimeoutCheck(Duration delay);
  void CheckTimeouts();
  bool IsIdle() const;
  // True if the close waits until the caller has read the responses.
  bool WaitsForReader() const;

  std::uint64_t connection_id;
  ServerSocket& socket;
  Strand connection_strand;
  std::weak_ptr<void> restinio_connection;
  ConnectionRegistry& registry;
  std::vector<std::shared_ptr<ResponseWriter>> pending_responses;
  std::uint64_t requests_handled = 0;
  bool is_closed = false;
  bool is_closing = false;
  bool pipelines = false;
  std::function<void()> after_responses;
  asio::steady_timer timer;
  bool timer_active = false;
  // A time limit had passed at the last check.
  bool timeout_seen = false;
  TimePoint last_response_at;
  asio::steady_timer idle_close_timer;
};

// Open connections of a server, indexed by RESTinio's connection id.
class ConnectionRegistry {
 public:
  // Returns false after RefuseNewConnections.
  bool Add(std::shared_ptr<ServerConnection> connection) {
    const std::scoped_lock lock(this->mutex);
    if (this->refuses_connections) {
      return false;
    }
    this->connections.emplace(connection->id(), std::move(connection));
    return true;
  }
  void Remove(std::uint64_t id) {
    const std::scoped_lock lock(this->mutex);
    this->connections.erase(id);
  }
  std::shared_ptr<ServerConnection> Find(std::uint64_t id) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
  }
  std::vector<std::shared_ptr<ServerConnection>> All() {
    const std::scoped_lock lock(this->mutex);
    std::vector<std::shared_ptr<ServerConnection>> all;
    for (const auto& [id, connection] : this->connections) {
      all.push_back(connection);
    }
    return all;
  }
  std::size_t size() const {
    const std::scoped_lock lock(this->mutex);
    return this->connections.size();
  }
  void RefuseNewConnections() {
    const std::scoped_lock lock(this->mutex);
    this->refuses_connections = true;
  }
  RequestLimits Limits() {
    const std::scoped_lock lock(this->mutex);
    return this->limits;
  }
  void SetLimits(const RequestLimits& new_limits) {
    const std::scoped_lock lock(this->mutex);
    this->limits = new_limits;
  }

  // Connections with pipelined requests are closed like others from then on.
  TimePoint PipeliningEnd() {
    const std::scoped_lock lock(this->mutex);
    return this->pipelining_end;
  }
  void SetPipeliningEnd(TimePoint end) {
    const std::scoped_lock lock(this->mutex);
    this->pipelining_end = end;
  }

  // Set before the server listens.
  std::function<void(const RefusedRequest&)> on_refusal;
  std::function<void(const DiscardedInput&)> on_discarded_input;
  // Set by StopListening; idle connections are closed from then on.
  std::atomic<bool> listening_stopped = false;
  // Every response closes its connection.
  std::atomic<bool> keep_alive_disabled = false;

 private:
  mutable std::mutex mutex;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> connections;
  // Set by RefuseNewConnections when the server is destroyed.
  bool refuses_connections = false;
  TimePoint pipelining_end = TimePoint::max();
  RequestLimits limits;
};

// Event loop through which the connections' sockets access the connection registry of their server.
class ServerContext : public asio::io_context {
 public:
  ConnectionRegistry registry;
  // Set before the server listens. Bodies may outlive the server.
  std::shared_ptr<BodyBudget> body_budget;
  // Bounds the responses that are held back until they are complete.
  std::shared_ptr<BodyBudget> response_budget;
  // Sockets that LingeringSocket reads and whose peers lack part of what was written, or may do so
  // as a reset would drop it.
  std::atomic<std::size_t> undelivered_sockets = 0;
  // Set when the server is destroyed; it does not wait for the peers of closed connections.
  std::atomic<bool> is_ending = false;
  std::atomic<std::uint64_t> accepted_connections = 0;
};

// Bytes that were written and that the peer has yet to acknowledge; 0 if the socket is closed.
std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<std::size_t>(bytes)
             : 0;
}

// Reads and discards what a peer still sends on a connection that the server has closed for
// sending. Closing a socket with unread bytes, or receiving bytes after that, resets the connection
// and drops the part of the last response that the peer has not acknowledged.
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket> {
 public:
  // `may_receive`: the peer may have sent requests before it reads that the connection closes.
  LingeringSocket(ServerContext& context, asio::ip::tcp::socket open_socket, bool may_receive)
      : context(context),
        strand(context.get_executor()),
        socket(std::move(open_socket)),
        timer(context),
        closed_at(SteadyNow()),
        may_receive(may_receive) {
    ++this->context.undelivered_sockets;
  }
  ~LingeringSocket() { this->SetDelivered(); }
  LingeringSocket(const LingeringSocket&) = delete;
  LingeringSocket& operator=(const LingeringSocket&) = delete;

  void Start() {
    // A read that fails cancels the timer, maybe on another thread.
    const auto now = std::chrono::steady_clock::now();
    this->CheckLater(now + kRefusalDrainTime, now + kMaxLingerTime);
    this->Discard();
  }

 private:
  void Discard() {
    this->socket.async_read_some(
        asio::buffer(this->discarded),
        asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                              const asio::error_code& error, std::size_t length) {
          if (error) {
            self->timer.cancel();
            self->ReportDiscardedInput();
          } else {
            self->received = true;
            self->CountDiscarded(length);
            self->Discard();
          }
        }));
  }

  void CheckLater(std::chrono::steady_clock::time_point close_at,
                  std::chrono::steady_clock::time_point limit) {
    const auto next_check = std::chrono::steady_clock::now() + kDeliveryCheckInterval;
    this->timer.expires_at(this->context.registry.listening_stopped ? std::min(close_at, next_check)
                                                                    : close_at);
    this->timer.async_wait(asio::bind_executor(
        this->strand,
        [self = this->shared_from_this(), close_at, limit](const asio::error_code& error) {
          if (!error) {
            self->Check(close_at, limit);
          }
        }));
  }

  void Check(std::chrono::steady_clock::time_point close_at,
             std::chrono::steady_clock::time_point limit) {
    const auto now = std::chrono::steady_clock::now();
    const bool is_acknowledged = UnacknowledgedBytes(this->socket) == 0;
    if (is_acknowledged && !this->may_receive && !this->received) {
      this->SetDelivered();
    }
    if (this->context.is_ending) {
      this->CloseNow();
      return;
    }
    if (now < close_at) {
      this->CheckLater(close_at, limit);
      return;
    }
    // Many callers read the response only after they have sent their request.
    const bool is_busy = std::exchange(this->received, false) || !is_acknowledged;
    if (is_busy && now < limit) {
      this->CheckLater(now + kRefusalDrainTime, limit);
      return;
    }
    this->ReportDiscardedInput();
    asio::error_code ignored;
    this->socket.close(ignored);
  }

  // The kernel delivers what has been written if no unread bytes are left.
  void CloseNow() {
    asio::error_code error;
    std::size_t unread = this->socket.available(error);
    while (!error && unread > 0) {
      const std::size_t length = this->socket.read_some(
          asio::buffer(this->discarded, std::min(unread, this->discarded.size())), error);
      this->CountDiscarded(length);
      unread -= length;
    }
    this->ReportDiscardedInput();
    this->socket.close(error);
  }

  void CountDiscarded(std::size_t length) {
    if (this->discarded_input.bytes == 0) {
      this->discarded_input.arrived_after_close = SteadyNow() - this->closed_at;
    }
    this->discarded_input.bytes += length;
  }

  // Reports once for each socket.
  void ReportDiscardedInput() {
    if (this->discarded_input.bytes > 0 && !std::exchange(this->is_reported, true)) {
      this->discarded_input.ended_after_close = SteadyNow() - this->closed_at;
      this->context.registry.on_discarded_input(this->discarded_input);
    }
  }

  void SetDelivered() {
    if (!std::exchange(this->is_delivered, true)) {
      --this->context.undelivered_sockets;
    }
  }

  ServerContext& context;
  asio::strand<asio::io_context::executor_type> strand;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  const TimePoint closed_at;
  const bool may_receive;
  DiscardedInput discarded_input;
  bool is_reported = false;
  bool is_delivered = false;
  // Bytes have arrived since the socket was last kept open for them.
  bool received = false;
  std::array<char, 4096> discarded{};
};

// Socket type of the RESTinio traits. Sends an error response to requests for which RESTinio would
// only close the connection, and allows a responder to reset the connection.
class ServerSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit ServerSocket(asio::io_context& context) : Base(context) {}

  template <typename Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler handler) {
    if (const auto refusal = std::exchange(this->next_refusal, std::nullopt)) {
      this->Refuse(*refusal, std::move(handler));
      return;
    }
    const auto executor = asio::get_associated_executor(handler);
    Base::async_read_some(
        buffer, asio::bind_executor(executor,
                                    [this, buffer, handler = std::move(handler)](
                                        const asio::error_code& error, std::size_t length) mutable {
                                      this->AfterRead(buffer, std::move(handler), error, length);
                                    }));
  }

  // Initialises the state of a connection. RESTinio reuses one socket object for accepting and
  // moves each connection out of it, so the constructor cannot do this.
  void Attach(std::shared_ptr<ServerConnection> server_connection,
              const RequestLimits& limits,
              std::shared_ptr<BodyBudget> body_budget) {
    this->connection = std::move(server_connection);
    this->inspector.emplace(limits, std::move(body_budget));
    this->last_read_at = SteadyNow();
  }
  void Reset() {
    asio::error_code ignored;
    this->set_option(asio::socket_base::linger(true, 0), ignored);
    this->Base::close(ignored);
  }
  std::size_t UnacknowledgedBytes() { return pimentopin::UnacknowledgedBytes(*this); }
  // Called by RESTinio before close(). Bytes that arrive later are still read.
  void shutdown(asio::socket_base::shutdown_type /*what*/, asio::error_code& error) {
    Base::shutdown(asio::socket_base::shutdown_send, error);
  }
  void close() { this->CloseGracefully(); }
  // Closes the connection such that the peer receives all that was written.
  void CloseGracefully() {
    asio::error_code error;
    if (!this->is_open()) {
      return;
    }
    this->shutdown(asio::socket_base::shutdown_send, error);
    auto& context = static_cast<ServerContext&>(this->get_executor().context());
    const auto protocol = this->local_endpoint(error).protocol();
    if (error) {
      this->Base::close(error);
      return;
    }
    asio::ip::tcp::socket rest(context, protocol, this->release(error));
    if (!error) {
      std::make_shared<LingeringSocket>(context, std::move(rest), this->MayReceive())->Start();
    }
  }
  // Closes a connection that carries no request. A request that crosses the close stays unread if
  // that can drop no response: the kernel resets the connection, so that the caller learns soon
  // that the request has not been read, and may send it again.
  void CloseIdle() {
    if (this->MayReceive() || this->UnacknowledgedBytes() > 0) {
      this->CloseGracefully();
      return;
    }
    asio::error_code ignored;
    this->Base::close(ignored);
  }
  // True if bytes wait in the socket; false if it is closed.
  bool HasUnreadBytes() const {
    asio::error_code error;
    return this->available(error) > 0;
  }
  // True if no byte of another request has been received.
  bool IsIdle(std::uint64_t requests_handled) const {
    return !this->is_open() || (!this->HasUnreadBytes() && !this->inspector->in_request() &&
                                this->inspector->complete_requests() == requests_handled);
  }
  // Time since which the server has been waiting for the rest of a request; no value if no request
  // is incomplete or if it has been refused.
  std::optional<TimePoint> IncompleteRequestSince() const {
    if (this->refusing || !this->inspector->in_request()) {
      return std::nullopt;
    }
    return this->inspector->in_body() ? this->last_read_at : this->request_started_at;
  }
  TimePoint last_read() const { return this->last_read_at; }
  BodyReservation TakeBodyReservation() { return this->inspector->TakeReservation(); }
  // Sends status 408 for a request that was not received in time and closes the connection.
  // `restinio_connection` keeps the socket alive until then.
  void RefuseTimedOutRequest(std::shared_ptr<void> restinio_connection) {
    this->refusing = true;
    const RequestRefusal refusal{
        .status = 408,
        .reason = "request-timeout",
        .message = "the request was not received completely before the timeout"};
    this->connection->ReportRefusal(refusal, true);
    auto response = std::make_shared<std::string>(FormatRefusal(refusal));
    asio::async_write(
        static_cast<Base&>(*this), asio::buffer(*response),
        asio::bind_executor(
            this->connection->strand(),
            [this, response, restinio_connection = std::move(restinio_connection)](
                const asio::error_code& /*error*/, std::size_t) { this->connection->Close(); }));
  }

 private:
  // True if bytes of a request may arrive after the close.
  bool MayReceive() const;
  static std::string FormatRefusal(const RequestRefusal& refusal) {
    const std::string body = ErrorResponseBody(refusal);
    const ResponseFraming framing{.content_length = body.size(), .keep_alive = false};
    return FormatResponseHead(refusal.status, ErrorResponseHeaders(refusal), framing) + body;
  }

  template <typename Handler>
  void AfterRead(const asio::mutable_buffer& buffer,
                 Handler handler,
                 const asio::error_code& error,
                 std::size_t length) {
    if (error) {
      handler(error, length);
      return;
    }
    if (this->refusing) {
      // The error response is being sent and the connection is about to close.
      this->async_read_some(buffer, std::move(handler));
      return;
    }
    this->last_read_at = SteadyNow();
    const bool continues_request = this->inspector->in_request();
    if (!continues_request && this->connection) {
      this->inspector->SetLimits(this->connection->limits());
    }
    const std::uint64_t complete_before = this->inspector->complete_requests();
    const RequestInspector::Result result =
        this->inspector->Inspect({static_cast<const char*>(buffer.data()), length});
    if (!continues_request || this->inspector->complete_requests() != complete_before) {
      this->request_started_at = this->last_read_at;
    }
    if (this->connection && this->inspector->in_request()) {
      this->connection->OnPartialRequest();
    }
    if (result.refusal && result.accepted_bytes > 0) {
      // RESTinio reads again when it has passed on the requests in front of the refused one.
      this->next_refusal = result.refusal;
      handler(error, result.accepted_bytes);
    } else if (result.refusal) {
      this->Refuse(*result.refusal, std::move(handler));
    } else if (result.accepted_bytes == 0) {
      this->async_read_some(buffer, std::move(handler));
    } else {
      handler(error, result.accepted_bytes);
    }
  }

  // A refused request, until its connection has ended.
  template <typename Handler>
  struct PendingRefusal {
    RequestRefusal refusal;
    Handler handler;
    std::string response;
    asio::steady_timer timer;
    bool sending = false;
  };

  // Sends an error response after the responses to earlier requests on the connection, drains the
  // connection and then lets RESTinio close it. `handler` keeps the connection alive until then.
  template <typename Handler>
  void Refuse(const RequestRefusal& refusal, Handler handler) {
    if (!this->connection) {
      handler(asio::error::connection_reset, 0);
      return;
    }
    this->refusing = true;
    const auto pending = std::make_shared<PendingRefusal<Handler>>(
        PendingRefusal<Handler>{.refusal = refusal,
                                .handler = std::move(handler),
                                .response = FormatRefusal(refusal),
                                .timer = asio::steady_timer(this->get_executor())});
    this->Drain(pending);
    this->connection->RunAfterResponses([this, pending] { this->SendRefusal(pending); });
  }

  template <typename Handler>
  void SendRefusal(const std::shared_ptr<PendingRefusal<Handler>>& pending) {
    const auto executor = asio::get_associated_executor(pending->handler);
    pending->sending = true;
    this->connection->ReportRefusal(pending->refusal, true);
    pending->timer.expires_after(kRefusalDrainTime);
    pending->timer.async_wait(
        asio::bind_executor(executor, [this, pending](const asio::error_code& error) {
          if (!error) {
            this->CloseGracefully();
          }
        }));
    asio::async_write(
        static_cast<Base&>(*this), asio::buffer(pending->response),
        asio::bind_executor(executor,
                            [this, pending](const asio::error_code& /*error*/, std::size_t) {
                              asio::error_code ignored;
                              this->shutdown(asio::socket_base::shutdown_send, ignored);
                            }));
  }

  // Discards received bytes until the connection ends.
  template <typename Handler>
  void Drain(const std::shared_ptr<PendingRefusal<Handler>>& pending) {
    Base::async_read_some(
        asio::buffer(this->drain_buffer),
        asio::bind_executor(asio::get_associated_executor(pending->handler),
                            [this, pending](const asio::error_code& error, std::size_t) {
                              if (!error) {
                                this->Drain(pending);
                                return;
                              }
                              pending->timer.cancel();
                              if (!pending->sending) {
                                this->connection->ReportRefusal(pending->refusal, false);
                              }
                              pending->handler(asio::error::connection_reset, 0);
                            }));
  }

  std::optional<RequestInspector> inspector;
  std::shared_ptr<ServerConnection> connection;
  TimePoint last_read_at;
  TimePoint request_started_at;
  bool refusing = false;
  // Refusal of the request behind those that RESTinio has been given.
  std::optional<RequestRefusal> next_refusal;
  std::array<char, 1024> drain_buffer{};
};

bool ServerSocket::MayReceive() const {
  return this->refusing || !this->connection || this->connection->pipelined();
}

// Overload that RESTinio finds by argument-dependent lookup in place of its function for plain
// sockets. The first read starts on the strand, because other functions may use the socket from
// here on.
template <typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(ServerSocket& socket,
                                       Connection& connection,
                                       StartRead start_read,
                                       Failed /*failed*/) {
  auto& context = static_cast<ServerContext&>(socket.get_executor().context());
  ++context.accepted_connections;
  const auto restinio_connection = connection.shared_from_this();
  auto server_connection = std::make_shared<ServerConnection>(
      connection.connection_id(), socket, connection.get_executor(), restinio_connection,
      context.registry);
  socket.Attach(server_connection, context.registry.Limits(), context.body_budget);
  if (!context.registry.Add(server_connection)) {
    // Without a pending read, RESTinio's connection is destroyed, which closes the socket.
    return;
  }
  server_connection->Post([restinio_connection, start_read](ServerConnection& self) {
    start_read();
    self.StartTimer();
    self.CloseIfIdle();
  });
}

class ConnectionListener {
 public:
  explicit ConnectionListener(ConnectionRegistry& registry) : registry(registry) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      return;
    }
    if (const auto connection = this->registry.Find(notice.connection_id())) {
      connection->OnClosed();
    }
  }

 private:
  ConnectionRegistry& registry;
};

// The null timer manager disables RESTinio's time limits, which would interrupt long requests and
// responses. ServerConnection enforces the timeouts of RequestLimits; request deadlines are the
// responsibility of the handler.
// FIXME: RESTinio 0.6.16 permanently stops accepting when accept() fails, for example when no file
// descriptors are free. The file descriptor limit of the process must exceed the number of
// connections to callers and targets.
struct ServerTraits : public restinio::traits_t<restinio::null_timer_manager_t,
                                                restinio::null_logger_t,
                                                restinio::details::autodetect_request_handler_type,
                                                Strand,
                                                ServerSocket> {
  using connection_state_listener_t = ConnectionListener;
};

// Server state that must outlive the HttpServer while a responder exists.
struct ServerState {
  ServerContext context;
  std::atomic<std::size_t> requests_in_progress = 0;
  // Set when no thread runs the event loop any more.
  std::atomic<bool> threads_ended = false;
};

struct StartResponse {
  int status;
  HttpHeaders headers;
};
struct WriteBytes {
  std::string bytes;
  std::function<void()> written;
};
struct EndResponse {};
struct AbortResponse {};
struct CompleteResponse {
  int status;
  HttpHeaders headers;
  std::string body;
};
struct ReplaceResponse {
  CompleteResponse replacement;
};
struct SetDisconnectCallback {
  std::function<void()> callback;
};
using ResponseOperation = std::variant<StartResponse,
                                       WriteBytes,
                                       EndResponse,
                                       AbortResponse,
                                       CompleteResponse,
                                       ReplaceResponse,
                                       SetDisconnectCallback>;

// A response that has begun and of which nothing has been sent.
struct HeldResponse {
  int status;
  HttpHeaders headers;
  std::string body;
  BodyReservation reservation;
};

// Performs the operations of one response on the connection's strand, once the responses to earlier
// requests on the connection have been written. Operations that are queued before that are sent
// with one write.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter> {
 public:
  ResponseWriter(std::shared_ptr<ServerState> server,
                 std::shared_ptr<ServerConnection> connection,
                 ResponseBuilder builder,
                 bool is_head)
      : server(std::move(server)),
        connection(std::move(connection)),
        is_head(is_head),
        builder(std::move(builder)) {
    ++this->server->requests_in_progress;
  }
  ~ResponseWriter() { this->EndRequestInProgress(); }
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  void Enqueue(ResponseOperation operation) {
    if (this->server->threads_ended) {
      return;
    }
    {
      const std::scoped_lock lock(this->mutex);
      this->queue.push_back(std::move(operation));
      if (std::exchange(this->scheduled, true)) {
        return;
      }
    }
    asio::post(this->connection->strand(), [self = this->shared_from_this()] { self->Process(); });
  }

  // Called on the strand when the responses to all earlier requests have been written.
  void OnFirst() {
    asio::post(this->connection->strand(), [self = this->shared_from_this()] { self->Process(); });
  }

  // Called on the strand after the connection has been closed.
  void OnConnectionClosed() {
    this->ended_by_handler = this->ended_by_handler || this->IsEndQueued();
    const bool was_ended = std::exchange(this->ended, true) || this->ended_by_handler;
    const std::function<void()> callback = std::exchange(this->disconnect_callback, nullptr);
    this->builder.reset();
    this->TakeHeldResponse();
    this->EndRequestInProgress();
    if (!was_ended && callback) {
      callback();
    }
    // Releases what the operations hold.
    this->Process();
  }

 private:
  void Process() {
    std::vector<ResponseOperation> operations;
    {
      const std::scoped_lock lock(this->mutex);
      this->scheduled = false;
      if (this->connection->closed() || this->connection->IsFirst(this)) {
        operations.swap(this->queue);
      } else {
        // A head that is formatted early could announce the close in front of requests that arrive
        // in the meantime, and an abort would cut the earlier responses.
        const auto waiting = std::stable_partition(
            this->queue.begin(), this->queue.end(), [](const ResponseOperation& operation) {
              return std::holds_alternative<SetDisconnectCallback>(operation);
            });
        operations.assign(std::move_iterator(this->queue.begin()), std::move_iterator(waiting));
        this->queue.erase(this->queue.begin(), waiting);
      }
    }
    for (ResponseOperation& operation : operations) {
      std::visit([this](auto& value) { this->Apply(value); }, operation);
    }
    this->Flush(false);
  }

  bool IsEndQueued() {
    const std::scoped_lock lock(this->mutex);
    return std::ranges::any_of(this->queue, [](const auto& operation) {
      return std::holds_alternative<EndResponse>(operation) ||
             std::holds_alternative<CompleteResponse>(operation) ||
             std::holds_alternative<ReplaceResponse>(operation) ||
             std::holds_alternative<AbortResponse>(operation);
    });
  }

  void Apply(StartResponse& start) {
    if (this->ended || this->started) {
      return;
    }
    this->started = true;
    this->bodiless = this->is_head || IsBodilessStatus(start.status);
    // A failure after the header has been sent resets the connection, and with it the requests
    // behind.
    if (!this->bodiless && this->connection->pipelined()) {
      this->Hold(start);
      return;
    }
    this->SendHead(start.status, start.headers);
  }

  void SendHead(int status, const HttpHeaders& headers) {
    ResponseFraming framing{.chunked = !this->bodiless};
    if (this->is_head) {
      framing.content_length = ParseContentLength(headers);
    }
    // Requests may arrive until the response ends.
    this->AddResponseHead(status, headers, framing, false);
  }

  void Apply(WriteBytes& write) {
    if (this->ended || !this->started) {
      return;
    }
    if (this->held) {
      if (this->TryHold(write.bytes)) {
        if (write.written) {
          write.written();
        }
        return;
      }
      this->SendHeldPart();
    }
    this->AddChunk(std::move(write.bytes));
    if (write.written) {
      this->written_callbacks.push_back(std::move(write.written));
    }
  }

  void Apply(EndResponse& /*end*/) {
    if (this->ended || !this->started) {
      return;
    }
    if (std::optional<HeldResponse> response = this->TakeHeldResponse()) {
      this->ReleaseWhenWritten(std::move(response->reservation));
      this->SendComplete(response->status, response->headers, std::move(response->body));
      return;
    }
    if (!this->bodiless) {
      this->items.emplace_back(restinio::const_buffer("0\r\n\r\n", 5));
    }
    this->Flush(true);
  }

  void Apply(CompleteResponse& response) {
    if (this->ended || this->started) {
      return;
    }
    this->started = true;
    this->SendComplete(response.status, response.headers, std::move(response.body));
  }

  void SendComplete(int status, const HttpHeaders& headers, std::string body) {
    ResponseFraming framing;
    if (!IsBodilessStatus(status)) {
      framing.content_length = body.size();
    }
    const std::size_t sent_body_size = this->is_head || !framing.content_length ? 0 : body.size();
    this->AddResponseHead(status, headers, framing,
                          this->server->context.registry.keep_alive_disabled &&
                              this->connection->MayCloseAfter(this, sent_body_size));
    if (sent_body_size > 0) {
      this->items.emplace_back(std::move(body));
    }
    this->Flush(true);
  }

  void Apply(AbortResponse& /*abort*/) {
    if (this->ended) {
      return;
    }
    this->Flush(false);
    this->ended = true;
    this->ended_by_handler = true;
    this->disconnect_callback = nullptr;
    this->TakeHeldResponse();
    if (const auto live_builder = std::exchange(this->builder, std::nullopt)) {
      this->connection->Reset();
    }
  }

  void Apply(ReplaceResponse& replace) {
    if (this->TakeHeldResponse()) {
      this->started = false;
    }
    if (!this->started) {
      this->Apply(replace.replacement);
      return;
    }
    AbortResponse abort;
    this->Apply(abort);
  }

  void Apply(SetDisconnectCallback& set) {
    if (this->connection->closed()) {
      // The caller disconnected before the handler ended the response.
      if (!this->ended_by_handler && set.callback) {
        set.callback();
      }
      return;
    }
    if (!this->ended) {
      this->disconnect_callback = std::move(set.callback);
    }
  }

  void Hold(StartResponse& start) {
    this->held.emplace(
        HeldResponse{.status = start.status,
                     .headers = std::move(start.headers),
                     .reservation = BodyReservation(this->server->context.response_budget)});
    this->hold_timer.emplace(this->connection->strand());
    this->hold_timer->expires_after(kMaxHoldTime);
    this->hold_timer->async_wait([weak_self = this->weak_from_this()](const asio::error_code&) {
      if (const auto self = weak_self.lock()) {
        self->SendHeldPart();
        self->Flush(false);
      }
    });
  }

  // Appends the bytes to the held response; false if that would exceed a limit.
  bool TryHold(const std::string& bytes) {
    const std::size_t size = this->held->body.size() + bytes.size();
    if (size > kMaxHeldResponseBytes || !this->held->reservation.GrowTo(size)) {
      return false;
    }
    this->held->body += bytes;
    return true;
  }

  std::optional<HeldResponse> TakeHeldResponse() {
    if (!this->held) {
      return std::nullopt;
    }
    this->hold_timer->cancel();
    return std::exchange(this->held, std::nullopt);
  }

  // Sends what is held; the rest of the response follows as it arrives.
  void SendHeldPart() {
    std::optional<HeldResponse> response = this->TakeHeldResponse();
    if (!response) {
      return;
    }
    this->SendHead(response->status, response->headers);
    this->AddChunk(std::move(response->body));
    this->ReleaseWhenWritten(std::move(response->reservation));
  }

  void ReleaseWhenWritten(BodyReservation reservation) {
    this->written_callbacks.emplace_back(
        [reservation = std::make_shared<BodyReservation>(std::move(reservation))] {});
  }

  void AddChunk(std::string bytes) {
    if (bytes.empty() || this->bodiless) {
      return;
    }
    this->items.emplace_back(fmt::format("{:x}\r\n", bytes.size()));
    this->items.emplace_back(std::move(bytes));
    this->items.emplace_back(restinio::const_buffer("\r\n", 2));
  }

  static std::optional<std::size_t> ParseContentLength(const HttpHeaders& headers) {
    const std::string_view text = FindHeader(headers, "Content-Length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool valid = !text.empty() && error == std::errc() && end == text.data() + text.size();
    return valid ? std::optional(length) : std::nullopt;
  }

  void AddResponseHead(int status,
                       const HttpHeaders& headers,
                       ResponseFraming framing,
                       bool closes) {
    this->keep_alive = this->builder->should_keep_alive() && !closes;
    if (!this->keep_alive) {
      this->connection->SetClosing();
    }
    framing.keep_alive = this->keep_alive;
    this->items.emplace_back(FormatResponseHead(status, headers, framing));
  }

  // Passes the collected items to RESTinio.
  void Flush(bool is_final) {
    if (!this->builder || (!is_final && this->items.empty() && this->written_callbacks.empty())) {
      return;
    }
    restinio::write_status_cb_t notify;
    if (is_final || !this->written_callbacks.empty()) {
      notify = [self = this->shared_from_this(), is_final,
                callbacks = std::exchange(this->written_callbacks, {})](
                   const asio::error_code& error) { self->OnWritten(error, is_final, callbacks); };
    }
    if (is_final) {
      this->ended = true;
      this->ended_by_handler = true;
      this->disconnect_callback = nullptr;
    }
    this->builder->Send(std::exchange(this->items, {}), is_final, this->keep_alive,
                        std::move(notify));
  }

  void OnWritten(const asio::error_code& error,
                 bool is_final,
                 const std::vector<std::function<void()>>& callbacks) {
    if (!error) {
      for (const auto& callback : callbacks) {
        callback();
      }
    }
    if (!is_final) {
      return;
    }
    this->EndRequestInProgress();
    this->builder.reset();
    this->connection->RemoveResponse(this);
    this->connection->Post([](ServerConnection& self) { self.CloseIfIdle(); });
  }

  void EndRequestInProgress() {
    if (!std::exchange(this->removed_from_count, true)) {
      --this->server->requests_in_progress;
    }
  }

  // Declared first and therefore destroyed last, because the connection and the builder use its
  // event loop.
  std::shared_ptr<ServerState> server;
  std::shared_ptr<ServerConnection> connection;
  const bool is_head;

  std::mutex mutex;
  std::vector<ResponseOperation> queue;
  bool scheduled = false;

  // Accessed only on the strand.
  std::optional<ResponseBuilder> builder;
  restinio::writable_items_container_t items;
  std::vector<std::function<void()>> written_callbacks;
  std::function<void()> disconnect_callback;
  std::optional<HeldResponse> held;
  std::optional<asio::steady_timer> hold_timer;
  bool started = false;
  bool bodiless = false;
  bool keep_alive = true;
  // The response accepts no more data: the handler has ended or aborted it, or the connection is
  // closed.
  bool ended = false;
  // The handler ended or aborted the response before the connection was closed.
  bool ended_by_handler = false;
  // The request is no longer counted in requests_in_progress: the response has been written or the
  // connection is closed.
  bool removed_from_count = false;
};

RequestLimits ServerConnection::limits() const {
  return this->registry.Limits();
}

void ServerConnection::ReportRefusal(const RequestRefusal& refusal, bool response_sent) const {
  this->registry.on_refusal({refusal, this->requests_handled, response_sent});
}

void ServerConnection::AddResponse(std::shared_ptr<ResponseWriter> writer) {
  // A request that was sent after the last response had been received acknowledges that response.
  this->pipelines =
      this->pipelines || this->has_pending_responses() || this->socket.UnacknowledgedBytes() > 0;
  ++this->requests_handled;
  this->pending_responses.push_back(std::move(writer));
}

void ServerConnection::RemoveResponse(const ResponseWriter* writer) {
  this->last_response_at = SteadyNow();
  std::erase_if(this->pending_responses,
                [writer](const auto& entry) { return entry.get() == writer; });
  if (!this->pending_responses.empty()) {
    this->pending_responses.front()->OnFirst();
  } else if (this->after_responses) {
    this->Post([](ServerConnection& self) {
      if (const auto function = std::exchange(self.after_responses, nullptr)) {
        function();
      }
    });
  }
}

void ServerConnection::RunAfterResponses(std::function<void()> function) {
  if (this->pending_responses.empty()) {
    function();
  } else {
    this->after_responses = std::move(function);
  }
}

void ServerConnection::Reset() {
  this->socket.Reset();
  this->OnClosed();
}

BodyReservation ServerConnection::TakeBodyReservation() {
  return this->socket.TakeBodyReservation();
}

bool ServerConnection::MayCloseAfter(const ResponseWriter* writer, std::size_t size) const {
  return (this->pending_responses.empty() || this->pending_responses.back().get() == writer) &&
         this->socket.IsIdle(this->requests_handled) &&
         (!this->WaitsForReader() ||
          this->socket.UnacknowledgedBytes() + size <= kMaxUnreadBytesAtClose);
}

bool ServerConnection::WaitsForReader() const {
  return this->pipelines && SteadyNow() < this->registry.PipeliningEnd();
}

bool ServerConnection::IsIdle() const {
  return !this->is_closed && !this->has_pending_responses() &&
         this->socket.IsIdle(this->requests_handled);
}

void ServerConnection::Close() {
  if (this->is_closed) {
    return;
  }
  this->socket.CloseIdle();
  this->OnClosed();
}

void ServerConnection::CloseIfIdle() {
  if (!this->registry.listening_stopped) {
    return;
  }
  if (!this->IsIdle()) {
    return;
  }
  this->idle_close_timer.expires_after(this->WaitsForReader() ? kPipelinedIdleCloseDelay
                                                              : kIdleCloseDelay);
  this->idle_close_timer.async_wait(
      [self = this->shared_from_this()](const asio::error_code& error) {
        const std::shared_ptr<void> live_connection = self->restinio_connection.lock();
        if (error || !live_connection || !self->IsIdle()) {
          return;
        }
        // A caller that has yet to receive the response may have sent its next request, which takes
        // as long to arrive.
        if (self->socket.UnacknowledgedBytes() > 0) {
          self->CloseIfIdle();
          return;
        }
        self->Close();
      });
}

void ServerConnection::StartTimer() {
  this->ScheduleTimeoutCheck(this->registry.Limits().idle_timeout);
}

void ServerConnection::OnPartialRequest() {
  this->ScheduleTimeoutCheck(this->registry.Limits().header_timeout);
}

void ServerConnection::ScheduleTimeoutCheck(Duration delay) {
  const auto due = std::chrono::steady_clock::now() + delay;
  if (this->is_closed || (this->timer_active && this->timer.expiry() <= due)) {
    return;
  }
  this->timer_active = true;
  this->timer.expires_at(due);
  this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->timer_active = false;
      self->CheckTimeouts();
    }
  });
}

void ServerConnection::CheckTimeouts() {
  const std::shared_ptr<void> live_connection = this->restinio_connection.lock();
  if (!live_connection || this->is_closed) {
    return;
  }
  const RequestLimits limits = this->registry.Limits();
  if (this->has_pending_responses()) {
    this->ScheduleTimeoutCheck(limits.idle_timeout);
    return;
  }
  const TimePoint now = SteadyNow();
  const std::optional<TimePoint> incomplete_since = this->socket.IncompleteRequestSince();
  const TimePoint since =
      incomplete_since.value_or(std::max(this->last_response_at, this->socket.last_read()));
  const Duration remaining =
      since + (incomplete_since ? limits.header_timeout : limits.idle_timeout) - now;
  if (remaining > Duration::zero()) {
    this->timeout_seen = false;
    this->ScheduleTimeoutCheck(remaining);
  } else if (!std::exchange(this->timeout_seen, true) || this->socket.HasUnreadBytes()) {
    // The process may have been kept from running while the peer sent; reads that are due come
    // first.
    this->ScheduleTimeoutCheck(kIdleCloseDelay);
  } else if (incomplete_since) {
    this->socket.RefuseTimedOutRequest(live_connection);
  } else if (this->IsIdle()) {
    this->Close();
  } else {
    this->ScheduleTimeoutCheck(limits.header_timeout);
  }
}

void ServerConnection::CloseOrReset() {
  if (this->is_closed) {
    return;
  }
  if (this->has_pending_responses()) {
    this->Reset();
    return;
  }
  this->Close();
}

void ServerConnection::OnClosed() {
  const auto self = this->shared_from_this();
  this->is_closed = true;
  this->timer.cancel();
  this->idle_close_timer.cancel();
  this->registry.Remove(this->connection_id);
  this->after_responses = nullptr;
  const auto responses = std::exchange(this->pending_responses, {});
  for (const auto& response : responses) {
    response->OnConnectionClosed();
  }
}

class Responder : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<ResponseWriter> writer) : writer(std::move(writer)) {}
  // Has no effect if the response has ended.
  ~Responder() override { this->writer->Enqueue(AbortResponse{}); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Start(int status, HttpHeaders headers) override {
    this->writer->Enqueue(StartResponse{status, std::move(headers)});
  }
  void Write(std::string bytes, std::function<void()> written) override {
    this->writer->Enqueue(WriteBytes{std::move(bytes), std::move(written)});
  }
  void End() override { this->writer->Enqueue(EndResponse{}); }
  void Abort() override { this->writer->Enqueue(AbortResponse{}); }
  void Respond(int status, HttpHeaders headers, std::string body) override {
    this->writer->Enqueue(CompleteResponse{status, std::move(headers), std::move(body)});
  }
  void Replace(int status, HttpHeaders headers, std::string body) override {
    this->writer->Enqueue(ReplaceResponse{{status, std::move(headers), std::move(body)}});
  }
  void OnCallerDisconnect(std::function<void()> callback) override {
    this->writer->Enqueue(SetDisconnectCallback{std::move(callback)});
  }

 private:
  std::shared_ptr<ResponseWriter> writer;
};

// A request and the memory of its body, which RESTinio does not allow to be moved out.
struct HeldRequest {
  // Destroyed after the body.
  BodyReservation reservation;
  restinio::request_handle_t request;
};

// Splits a request target into path and query; false if it has no path.
bool SplitRequestTarget(std::string_view target, HttpServerRequest& request) {
  if (const std::size_t scheme = target.find("://");
      !target.starts_with('/') && scheme != std::string_view::npos) {
    const std::size_t path_start = target.find('/', scheme + 3);
    target =
        path_start == std::string_view::npos ? std::string_view("/") : target.substr(path_start);
  }
  if (!target.starts_with('/')) {
    return false;
  }
  target = target.substr(0, target.find('#'));
  const std::size_t query_start = target.find('?');
  request.path = target.substr(0, query_start);
  request.query = query_start == std::string_view::npos ? "" : target.substr(query_start + 1);
  return true;
}

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  asio::error_code error;
  const auto address = asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [port_end, port_error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error || port_error != std::errc() || port_end != end) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

// Progress of the end of listening; accessed by one handler at a time.
struct ListenerClose {
  explicit ListenerClose(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  std::promise<void> closed;
  std::uint64_t accepted_connections = 0;
  int checks_without_accept = 0;
};

bool HasWaitingConnection(asio::ip::tcp::acceptor& acceptor) {
  pollfd entry{.fd = acceptor.native_handle(), .events = POLLIN, .revents = 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLIN) != 0;
}

class RestinioServer : public HttpServer {
 public:
  RestinioServer(HttpServerSettings settings, Handler handler)
      : settings(std::move(settings)),
        handler(std::move(handler)),
        state(std::make_shared<ServerState>()),
        work_guard(asio::make_work_guard(this->state->context)) {
    this->state->context.registry.SetLimits(this->settings.limits);
    this->state->context.registry.on_refusal = this->settings.on_refusal;
    this->state->context.registry.on_discarded_input = this->settings.on_discarded_input;
    this->state->context.body_budget =
        std::make_shared<BodyBudget>(this->settings.max_held_body_bytes);
    this->state->context.response_budget =
        std::make_shared<BodyBudget>(this->settings.max_held_response_bytes);
  }
  ~RestinioServer() override {
    if (this->threads.empty()) {
      return;
    }
    this->StopListening(std::nullopt);
    this->state->context.is_ending = true;
    this->state->context.registry.RefuseNewConnections();
    for (const auto& connection : this->state->context.registry.All()) {
      connection->Post([](ServerConnection& self) { self.CloseOrReset(); });
    }
    this->work_guard.reset();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->state->threads_ended = true;
  }
  RestinioServer(const RestinioServer&) = delete;
  RestinioServer& operator=(const RestinioServer&) = delete;

  bool Listen(Error& error) {
    const auto endpoint = ParseEndpoint(this->settings.address);
    if (!endpoint) {
      error = {ErrorCode::kInvalidArgument, "address is not IP:port: " + this->settings.address};
      return false;
    }
    try {
      this->server = std::make_unique<restinio::http_server_t<ServerTraits>>(
          restinio::external_io_context(this->state->context),
          [&](auto& server_settings) { this->Configure(*endpoint, server_settings); });
      this->server->open_sync();
    } catch (const std::exception& exception) {
      error = {ErrorCode::kInvalidArgument,
               "cannot listen on " + this->settings.address + ": " + exception.what()};
      return false;
    }
    for (std::size_t index = 0; index < std::max<std::size_t>(1, this->settings.threads); ++index) {
      this->threads.emplace_back([this] {
        is_server_thread = true;
        this->state->context.run();
      });
    }
    return true;
  }

  std::string address() const override { return this->bound_address; }
  std::size_t requests_in_progress() const override { return this->state->requests_in_progress; }

  std::size_t open_connections() const override {
    return this->state->context.registry.size() + this->state->context.undelivered_sockets;
  }

  std::size_t held_body_bytes() const override {
    return this->state->context.body_budget->held_bytes();
  }

  std::size_t held_response_bytes() const override {
    return this->state->context.response_budget->held_bytes();
  }

  void SetLimits(const RequestLimits& limits) override {
    RequestLimits effective_limits = limits;
    // RESTinio's own limit cannot change after construction.
    effective_limits.max_body_bytes =
        std::min(limits.max_body_bytes, this->settings.limits.max_body_bytes);
    this->state->context.registry.SetLimits(effective_limits);
  }

  void DisableKeepAlive() override { this->state->context.registry.keep_alive_disabled = true; }

  void StopListening(std::optional<TimePoint> process_end) override {
    this->DisableKeepAlive();
    if (this->state->context.registry.listening_stopped.exchange(true)) {
      return;
    }
    this->state->context.registry.SetPipeliningEnd(
        process_end.value_or(SteadyNow() + kMaxPipeliningTime));
    const auto close = std::make_shared<ListenerClose>(this->state->context);
    asio::post(this->state->context, [this, close] { this->CloseListener(close); });
    if (!is_server_thread) {
      close->closed.get_future().wait();
    }
    for (const auto& connection : this->state->context.registry.All()) {
      connection->Post([](ServerConnection& self) { self.CloseIfIdle(); });
    }
  }

 private:
  template <typename Settings>
  void Configure(const asio::ip::tcp::endpoint& endpoint, Settings& server_settings) {
    server_settings.port(endpoint.port())
        .protocol(endpoint.protocol())
        .address(endpoint.address())
        .max_pipelined_requests(kMaxPipelinedRequests)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(
            this->settings.limits.max_body_bytes))
        .connection_state_listener(
            std::make_shared<ConnectionListener>(this->state->context.registry))
        .socket_options_setter([](restinio::socket_options_t& options) {
          options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& bound_acceptor) {
          std::ostringstream text;
          text << bound_acceptor.local_endpoint();
          this->bound_address = text.str();
          this->acceptor = &bound_acceptor;
        })
        .request_handler([this](const restinio::request_handle_t& request) {
          this->OnRequest(request);
          return restinio::request_accepted();
        });
  }

  // Closes the listening socket when no connection is left in its queue. The kernel would reset
  // those connections, and with them the requests that have arrived on them.
  void CloseListener(const std::shared_ptr<ListenerClose>& close) {
    const std::uint64_t accepted = this->state->context.accepted_connections;
    if (std::exchange(close->accepted_connections, accepted) != accepted) {
      close->checks_without_accept = 0;
    }
    if (HasWaitingConnection(*this->acceptor) &&
        close->checks_without_accept < kMaxChecksWithoutAccept) {
      ++close->checks_without_accept;
      close->timer.expires_after(kListenerCheckInterval);
      close->timer.async_wait(
          [this, close](const asio::error_code&) { this->CloseListener(close); });
      return;
    }
    try {
      this->server->close_sync();
    } catch (const std::exception&) {
      // Nothing is left to close.
    }
    // Connections that have been accepted before are registered first.
    asio::post(this->state->context, [close] { close->closed.set_value(); });
  }

  void OnRequest(const restinio::request_handle_t& handle) {
    restinio::request_t& restinio_request = *handle;
    const auto connection = this->state->context.registry.Find(restinio_request.connection_id());
    if (!connection) {
      return;
    }
    BodyReservation reservation = connection->TakeBodyReservation();
    if (connection->closing()) {
      connection->DiscardRequest();
      connection->ReportRefusal(
          {.status = 503,
           .reason = "connection-closing",
           .message = "an earlier response on the connection announced that it closes"},
          false);
      return;
    }
    HttpServerRequest request;
    request.method = restinio_request.header().method().c_str();
    const bool has_path = SplitRequestTarget(restinio_request.header().request_target(), request);
    restinio_request.header().for_each_field([&](const restinio::http_header_field_t& field) {
      request.headers.push_back({field.name(), field.value()});
    });
    if (!restinio_request.body().empty()) {
      const auto held = std::make_shared<HeldRequest>(HeldRequest{std::move(reservation), handle});
      request.body = HttpBody(std::shared_ptr<const std::string>(held, &held->request->body()));
    }

    const bool overloaded =
        this->state->requests_in_progress >= this->settings.max_concurrent_requests;
    const auto writer = std::make_shared<ResponseWriter>(
        this->state, connection, restinio_request.create_response<SerialisedResponse>(),
        request.method == "HEAD");
    auto responder = std::make_shared<Responder>(writer);
    std::optional<RequestRefusal> refusal;
    if (!has_path) {
      refusal = {.reason = "malformed-request", .message = "the request target has no path"};
    } else if (overloaded) {
      refusal = {.status = 503,
                 .reason = "too-many-requests-in-progress",
                 .message = "the server has reached its limit of concurrent requests"};
    }
    if (refusal) {
      connection->ReportRefusal(*refusal, true);
    }
    connection->AddResponse(writer);
    if (refusal) {
      responder->Respond(refusal->status, ErrorResponseHeaders(*refusal),
                         ErrorResponseBody(*refusal));
    } else {
      this->handler(std::move(request), std::move(responder));
    }
  }

  HttpServerSettings settings;
  Handler handler;
  std::string bound_address;
  std::shared_ptr<ServerState> state;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
  // Owned by `server`.
  asio::ip::tcp::acceptor* acceptor = nullptr;
  std::vector<std::thread> threads;
};

}  // namespace

std::unique_ptr<HttpServer> HttpServer::Create(HttpServerSettings settings,
                                               Handler handler,
                                               Error& error) {
  auto server = std::make_unique<RestinioServer>(std::move(settings), std::move(handler));
  if (!server->Listen(error)) {
    return nullptr;
  }
  return server;
}

}  // namespace pimentopin

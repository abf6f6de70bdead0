#include "Libraries/LibHttp/http_client.h"

#include <curl/curl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "Libraries/LibHttp/carried_requests.h"
#include "Libraries/LibHttp/response_head.h"

namespace pimentopin {
namespace {

// Applies to idle connections of all addresses together. libcurl's default of four per running
// transfer would close most of them between requests.
constexpr long kMaxIdleConnections = 65536;
// Easy handles kept for reuse.
constexpr std::size_t kMaxIdleHandles = 256;
// Bounds the ids that are kept for each connection.
constexpr std::size_t kMaxRequestsPerConnection = 256;
// Interval between TCP keep-alive probes.
constexpr long kKeepAliveIntervalSeconds = 1;
// The kernel closes a connection whose data stays unacknowledged for this long. Allows three
// retransmissions of a lost segment.
constexpr unsigned kTcpUserTimeoutMs = 1500;
// Servers close idle connections after some time, often 10 s. A request sent while the peer closes
// the connection is lost, so connections idle for longer are not reused.
constexpr long kMaxConnectionIdleSeconds = 8;

// Limit on the status lines and header fields of a response, those of interim responses included,
// and on its trailers. Above libcurl's limit on a single line, which is 100 KiB.
constexpr std::size_t kMaxResponseFieldBytes = 128 * 1024;
// Limit on the chunk extensions and trailers that follow each other without a byte of the body.
constexpr std::size_t kMaxChunkFramingBytes = 128 * 1024;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

struct HeaderListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

void AppendHeaderLine(HeaderList& list, const std::string& line) {
  curl_slist* const extended = curl_slist_append(list.get(), line.c_str());
  if (extended != nullptr) {
    static_cast<void>(list.release());
    list.reset(extended);
  }
}

// Headers that libcurl sets itself to frame the request.
bool IsSetByClient(std::string_view name) {
  return EqualHeaderNames(name, "Content-Length") || EqualHeaderNames(name, "Transfer-Encoding") ||
         EqualHeaderNames(name, "Connection") || EqualHeaderNames(name, "Expect");
}

HeaderList MakeHeaderList(const HttpHeaders& headers) {
  HeaderList list;
  for (const HttpHeader& header : headers) {
    if (!IsSetByClient(header.name)) {
      // libcurl interprets "Name:" as a request to omit the header and "Name;" as an empty value.
      AppendHeaderLine(
          list, header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
  }
  // Suppresses headers that libcurl adds by default.
  AppendHeaderLine(list, "Expect:");
  for (const char* name : {"Accept", "Content-Type"}) {
    if (FindHeader(headers, name).empty()) {
      AppendHeaderLine(list, std::string(name) + ":");
    }
  }
  return list;
}

// Returns IP:port of an URL, which has the form given for HttpClientRequest.
std::string_view AddressOf(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return {};
  }
  url.remove_prefix(kScheme.size());
  return url.substr(0, url.find_first_of("/?"));
}

// Parses the header section of the final response and determines whether its length is defined.
class ResponseHeaderParser {
 public:
  // Parses one line; true if it completes the header section of the final response.
  bool AddLine(std::string_view line) {
    if (this->is_complete) {
      return false;  // Trailer field.
    }
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
      if (std::exchange(this->is_in_section, true)) {
        // libcurl takes it for a header field and goes by the first status line.
        this->status_code = 0;
        this->has_ended = true;
        return false;
      }
      this->header_fields.clear();
      // Stricter than libcurl, which passes on any three digits and what follows them.
      this->status_code = ParseStatus(line);
      this->has_ended = false;
      return false;
    }
    if (line.empty()) {
      this->has_ended = true;
      this->is_in_section = false;
      this->is_complete = this->status_code >= 200;
      return this->is_complete;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      std::string_view value = line.substr(colon + 1);
      value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
      value = value.substr(0, value.find_last_not_of(" \t") + 1);
      this->header_fields.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return false;
  }

  bool complete() const { return this->is_complete; }
  // True if the header section has ended and is neither that of an interim nor of a final response.
  // libcurl takes what follows 101 for a body, although no request asks for another protocol.
  bool has_unexpected_status() const {
    return this->has_ended && (this->status_code < 100 || this->status_code == 101);
  }
  int status() const { return this->status_code; }
  const HttpHeaders& fields() const { return this->header_fields; }
  // True if a truncated response can be distinguished from a complete one.
  bool has_defined_length() const {
    return this->status_code == 204 || this->status_code == 304 ||
           !FindHeader(this->header_fields, "Content-Length").empty() ||
           !FindHeader(this->header_fields, "Transfer-Encoding").empty();
  }

 private:
  HttpHeaders header_fields;
  int status_code = 0;
  // A status line was received, and the header section that it begins has not ended.
  bool is_in_section = false;
  bool has_ended = false;
  bool is_complete = false;
};

class TransferManager;

// Local port, remote address and remote port.
using ConnectionKey = std::tuple<long, std::string, long>;

class CurlTransfer : public Transfer, public std::enable_shared_from_this<CurlTransfer> {
 public:
  CurlTransfer(std::weak_ptr<TransferManager> manager,
               HttpClientRequest request,
               TransferCallbacks callbacks)
      : manager(std::move(manager)),
        request(std::move(request)),
        callbacks(std::move(callbacks)),
        start(SteadyNow()) {}

  void Cancel() override { this->EndAfterCallbacks(TransferError::kCancelled); }
  // Refuses the next received bytes, so that no callback starts after this call except one that is
  // already running.
  void Pause() override { this->paused = true; }
  void Resume() override;
  // Ends the transfer once the callbacks that run now have returned.
  void EndAfterCallbacks(TransferError error);

  const std::weak_ptr<TransferManager> manager;
  const HttpClientRequest request;
  TransferCallbacks callbacks;
  const TimePoint start;

  // Accessed only on the client's thread.
  std::unique_ptr<asio::steady_timer> timer;
  EasyHandle easy;
  HeaderList header_list;
  ResponseHeaderParser response;
  // Bytes of the response before its body, or of its trailers.
  std::size_t field_bytes = 0;
  // Bytes of a chunked body, with its framing, received since the last byte of its content.
  std::size_t chunk_framing_bytes = 0;
  // The peer sends bytes that are no response. The connection is closed and the transfer ends.
  bool malformed = false;
  // The receiver rejected the header of the response.
  bool rejected = false;
  int send_count = 0;
  // The idle connection that libcurl chose was closed, or bytes that belong to no request arrived
  // on it, before the request was sent, or it has carried a request with the same id.
  bool needs_other_connection = false;
  // Connections that were closed for the last reason.
  std::size_t avoided_connections = 0;
  // The connection on which the request was sent.
  ConnectionKey connection;
  bool paused_by_curl = false;
  // The connection may stay open for reuse.
  bool keeps_connection = false;
  bool ended = false;

  std::atomic<bool> paused = false;
};

std::size_t OnHeaderLine(char* bytes, std::size_t size, std::size_t count, void* data) {
  auto& transfer = *static_cast<CurlTransfer*>(data);
  // libcurl keeps each line with several times its size, and reads megabytes before it returns to
  // the event loop, so the limit on trailers applies here as well as in OnDebugData().
  transfer.field_bytes += size * count;
  if (transfer.field_bytes > kMaxResponseFieldBytes) {
    transfer.malformed = true;
    return CURL_WRITEFUNC_ERROR;
  }
  const bool is_end_of_head = transfer.response.AddLine({bytes, size * count});
  if (transfer.response.has_unexpected_status()) {
    transfer.malformed = true;
    return CURL_WRITEFUNC_ERROR;
  }
  if (is_end_of_head) {
    transfer.field_bytes = 0;
    if (!FindHeader(transfer.response.fields(), "Transfer-Encoding").empty()) {
      // Reports the received bytes to OnDebugData().
      curl_easy_setopt(transfer.easy.get(), CURLOPT_VERBOSE, 1L);
    }
    if (transfer.callbacks.on_headers &&
        !transfer.callbacks.on_headers(transfer.response.status(), transfer.response.fields())) {
      transfer.rejected = true;
      return CURL_WRITEFUNC_ERROR;
    }
  }
  return size * count;
}

// Counts the received bytes of a chunked body, which libcurl reports before it decodes them. It
// skips chunk extensions of any length without another call.
int OnDebugData(CURL*, curl_infotype type, char*, std::size_t size, void* data) {
  if (type == CURLINFO_DATA_IN) {
    auto& transfer = *static_cast<CurlTransfer*>(data);
    transfer.chunk_framing_bytes += size;
    if (transfer.chunk_framing_bytes > kMaxChunkFramingBytes && !transfer.malformed) {
      transfer.malformed = true;
      transfer.EndAfterCallbacks(TransferError::kMalformed);
    }
  }
  return 0;
}

std::size_t OnBodyBytes(char* bytes, std::size_t size, std::size_t count, void* data) {
  auto& transfer = *static_cast<CurlTransfer*>(data);
  if (transfer.paused) {
    transfer.paused_by_curl = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  transfer.chunk_framing_bytes = 0;
  if (transfer.callbacks.on_body) {
    transfer.callbacks.on_body(std::string(bytes, size * count));
  }
  return size * count;
}

bool HasUnreadBytes(curl_socket_t socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

// True if the connection is open and its peer has sent nothing on it.
bool IsOpenAndSilent(curl_socket_t socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

// Resets a connection and drops its unread bytes without closing the socket, which libcurl owns. It
// closes the socket when it next looks for an idle connection. shutdown() would leave a peer that
// has filled the receive buffer waiting for space in it.
void ResetConnection(curl_socket_t socket) {
  const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
  connect(socket, &unspecified, sizeof(unspecified));
}

// Sets TCP_USER_TIMEOUT; without it, the kernel retransmits for minutes to a peer behind a network
// partition.
int OnSocketCreated(void* /*data*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  return CURL_SOCKOPT_OK;
}

TransferError ErrorFromCurl(CURLcode code, const CurlTransfer& transfer) {
  const bool request_sent = transfer.send_count > 0;
  const bool header_complete = transfer.response.complete();
  if (transfer.malformed) {
    return TransferError::kMalformed;
  }
  if (transfer.rejected) {
    return TransferError::kRejected;
  }
  switch (code) {
    case CURLE_OK:
      if (!header_complete) {
        return TransferError::kConnectionLost;
      }
      if (transfer.request.method == "HEAD" || transfer.request.accept_close_delimited_body ||
          transfer.response.has_defined_length()) {
        return TransferError::kNone;
      }
      // The body is delimited by the end of the connection, which cannot be distinguished from a
      // crash of the peer.
      return TransferError::kTruncated;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_HTTP2:
      return TransferError::kMalformed;
    case CURLE_OUT_OF_MEMORY:
      // libcurl 7.88 reports a header line above its limit like a failed allocation.
      if (request_sent && !header_complete) {
        return TransferError::kMalformed;
      }
      [[fallthrough]];
    default:
      if (!request_sent) {
        return TransferError::kConnectFailure;
      }
      return header_complete ? TransferError::kTruncated : TransferError::kConnectionLost;
  }
}

// Runs all transfers on the client's thread.
class TransferManager : public std::enable_shared_from_this<TransferManager> {
 public:
  explicit TransferManager(HttpClientSettings settings)
      : settings(settings), curl_timer(this->context), multi(curl_multi_init()) {
    CURLM* const handle = this->multi.get();
    curl_multi_setopt(handle, CURLMOPT_SOCKETFUNCTION, &TransferManager::OnSocket);
    curl_multi_setopt(handle, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(handle, CURLMOPT_TIMERFUNCTION, &TransferManager::OnTimer);
    curl_multi_setopt(handle, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(handle, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(handle, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(settings.max_connections_per_address));
  }
  ~TransferManager() {
    // Calls OnSocket(), which uses the other members.
    this->multi.reset();
  }
  TransferManager(const TransferManager&) = delete;
  TransferManager& operator=(const TransferManager&) = delete;

  asio::io_context& event_loop() { return this->context; }

  void StartTransfer(const std::shared_ptr<CurlTransfer>& transfer) {
    if (!this->PrepareHandle(*transfer)) {
      this->EndTransfer(transfer, TransferError::kMalformed);
      return;
    }
    this->active_transfers.insert(transfer);
    this->LimitKeptConnections(*transfer);
    if (transfer->request.echoed_id && transfer->request.echoed_id->empty()) {
      // Kept connections would add up, as the next such request does not take one.
      curl_easy_setopt(transfer->easy.get(), CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(transfer->easy.get(), CURLOPT_FORBID_REUSE, 1L);
    }
    transfer->timer = std::make_unique<asio::steady_timer>(this->context);
    this->EndAt(transfer, transfer->start + transfer->request.timeout,
                transfer->request.body_timeout);
    if (curl_multi_add_handle(this->multi.get(), transfer->easy.get()) != CURLM_OK) {
      this->EndTransfer(transfer, TransferError::kConnectFailure);
    }
  }

  // Ends the transfer at `due`, or after `body_timeout` more if its header has arrived by then.
  void EndAt(const std::shared_ptr<CurlTransfer>& transfer, TimePoint due, Duration body_timeout) {
    transfer->timer->expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(due.time_since_epoch())));
    transfer->timer->async_wait(
        [this, weak = std::weak_ptr(transfer), due, body_timeout](const asio::error_code& error) {
          const auto expired = weak.lock();
          if (error || !expired) {
            return;
          }
          if (body_timeout > Duration::zero() && expired->response.complete()) {
            this->EndAt(expired, due + body_timeout, Duration::zero());
          } else {
            this->EndTransfer(expired, TransferError::kTimeout);
          }
        });
  }

  void Resume(const CurlTransfer& transfer, bool& paused_by_curl) {
    if (transfer.ended || transfer.paused || !std::exchange(paused_by_curl, false)) {
      return;
    }
    curl_easy_pause(transfer.easy.get(), CURLPAUSE_CONT);
    this->EndCompletedTransfers();
  }

  // Ends a transfer and reports its result; has no effect on a transfer that has already ended.
  void EndTransfer(const std::shared_ptr<CurlTransfer>& transfer, TransferError error) {
    if (std::exchange(transfer->ended, true)) {
      return;
    }
    transfer->timer.reset();
    this->active_transfers.erase(transfer);
    if (std::exchange(transfer->keeps_connection, false)) {
      this->RemoveKeptConnection(transfer->request.url);
    }
    if (transfer->easy) {
      // libcurl may have started the next transfer on the connection before it reported the end of
      // this one.
      const auto user = this->connection_users.find(transfer->connection);
      if (user != this->connection_users.end() && user->second == transfer.get()) {
        this->connection_users.erase(user);
        if (error != TransferError::kNone || !this->WatchIdleConnection(*transfer)) {
          this->carried_requests.erase(transfer->connection);
        }
      }
      // Closes the connection if the response is incomplete.
      curl_multi_remove_handle(this->multi.get(), transfer->easy.get());
      this->RecycleHandle(std::move(transfer->easy));
    }
    const TransferCallbacks callbacks = std::exchange(transfer->callbacks, {});
    if (callbacks.on_end) {
      callbacks.on_end({.error = error,
                        .may_have_been_sent = transfer->send_count > 0,
                        .elapsed = SteadyNow() - transfer->start});
    }
  }

  void CancelAll() {
    while (!this->active_transfers.empty()) {
      const std::shared_ptr<CurlTransfer> transfer = *this->active_transfers.begin();
      this->EndTransfer(transfer, TransferError::kCancelled);
    }
    this->idle_handles.clear();
  }

  // Closes all connections and timers, so that the event loop runs out of work.
  void Close() {
    this->CancelAll();
    this->multi.reset();
    this->curl_timer.cancel();
  }

 private:
  // A socket that libcurl polls. libcurl owns the descriptor.
  struct SocketWatch {
    SocketWatch(asio::io_context& context, curl_socket_t socket) : descriptor(context, socket) {}
    ~SocketWatch() { this->descriptor.release(); }
    SocketWatch(const SocketWatch&) = delete;
    SocketWatch& operator=(const SocketWatch&) = delete;

    asio::posix::stream_descriptor descriptor;
    int poll_events = CURL_POLL_NONE;
    bool waiting_for_read = false;
    bool waiting_for_write = false;
  };

  struct IdleConnection {
    IdleConnection(ConnectionKey key, asio::io_context& context, curl_socket_t socket)
        : key(std::move(key)), watch(context, socket) {}

    const ConnectionKey key;
    SocketWatch watch;
  };

  // Called after a connection is established and before the first byte is written. libcurl resends
  // a request on a new connection if a reused one was closed without a response. The first copy may
  // have been executed, so the second is refused. Bytes that arrived before the request is sent are
  // no response to it, but libcurl would take them for one; so would the receiver with a response
  // to an earlier request with the same id, which may arrive at any time.
  static int OnBeforeSend(void* data,
                          char* remote_address,
                          char* /*local_address*/,
                          int remote_port,
                          int local_port) {
    auto& transfer = *static_cast<CurlTransfer*>(data);
    const auto self = transfer.manager.lock();
    const ConnectionKey connection = {local_port, remote_address, remote_port};
    const auto idle = self->idle_sockets.find(connection);
    bool is_silent = true;
    if (idle != self->idle_sockets.end()) {
      const curl_socket_t socket = idle->second;
      self->StopWatchingIdleConnection(socket);
      is_silent = IsOpenAndSilent(socket);
    }
    const bool may_carry = self->MayCarry(connection, transfer);
    if (transfer.send_count == 0 && (!is_silent || !may_carry)) {
      self->carried_requests.erase(connection);
      transfer.needs_other_connection = true;
      transfer.avoided_connections += may_carry ? 0 : 1;
      return CURL_PREREQFUNC_ABORT;
    }
    ++transfer.send_count;
    if (transfer.send_count > 1) {
      self->carried_requests.erase(connection);
      return CURL_PREREQFUNC_ABORT;
    }
    transfer.connection = connection;
    self->connection_users[connection] = &transfer;
    self->AddCarriedRequest(transfer);
    return CURL_PREREQFUNC_OK;
  }

  // False if a late response to an earlier request on the connection could be taken for the
  // response to this one.
  bool MayCarry(const ConnectionKey& connection, const CurlTransfer& transfer) {
    long new_connections = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_NUM_CONNECTS, &new_connections);
    if (new_connections > 0) {
      this->carried_requests.erase(connection);
      return true;
    }
    const auto carried = this->carried_requests.find(connection);
    return carried != this->carried_requests.end() &&
           carried->second.MayCarry(transfer.request.echoed_id);
  }

  // Notes that the transfer's connection carries its request, and reports what it has carried.
  void AddCarriedRequest(const CurlTransfer& transfer) {
    CarriedRequests& carried = this->carried_requests[transfer.connection];
    const ConnectionUse use{.local_port = static_cast<int>(std::get<0>(transfer.connection)),
                            .earlier_requests = carried.count(),
                            .avoided_connections = transfer.avoided_connections};
    carried.Add(transfer.request.echoed_id);
    if (carried.count() >= kMaxRequestsPerConnection) {
      curl_easy_setopt(transfer.easy.get(), CURLOPT_FORBID_REUSE, 1L);
    }
    if (transfer.callbacks.on_connection) {
      transfer.callbacks.on_connection(use);
    }
  }

  // Watches the connection that libcurl keeps after a transfer. libcurl does not poll it, so a peer
  // could send on it for as long as it is idle. Returns false if libcurl has closed it.
  bool WatchIdleConnection(const CurlTransfer& transfer) {
    curl_socket_t socket = CURL_SOCKET_BAD;
    // libcurl tells the socket after a transfer, but not in OnBeforeSend().
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_ACTIVESOCKET, &socket);
    if (socket == CURL_SOCKET_BAD) {
      return false;
    }
    const auto idle = std::make_shared<IdleConnection>(transfer.connection, this->context, socket);
    this->idle_sockets[idle->key] = socket;
    this->idle_connections[socket] = idle;
    idle->watch.descriptor.async_wait(
        asio::posix::descriptor_base::wait_read, [idle](const asio::error_code& error) {
          if (!error && idle->watch.descriptor.is_open()) {
            const curl_socket_t readable = idle->watch.descriptor.native_handle();
            if (HasUnreadBytes(readable)) {
              ResetConnection(readable);
            }
          }
        });
    return true;
  }

  // Has no effect on a socket that is not watched as idle.
  void StopWatchingIdleConnection(curl_socket_t socket) {
    const auto found = this->idle_connections.find(socket);
    if (found == this->idle_connections.end()) {
      return;
    }
    found->second->watch.descriptor.release();
    this->idle_sockets.erase(found->second->key);
    this->idle_connections.erase(found);
  }

  // libcurl 7.88 skips this call when a connection attempt times out; such a socket is never idle.
  static int OnCloseSocket(void* data, curl_socket_t socket) {
    auto& self = *static_cast<TransferManager*>(data);
    const auto idle = self.idle_connections.find(socket);
    if (idle != self.idle_connections.end()) {
      self.carried_requests.erase(idle->second->key);
      self.StopWatchingIdleConnection(socket);
    }
    return close(socket);
  }

  bool PrepareHandle(CurlTransfer& transfer) {
    const HttpClientRequest& request = transfer.request;
    for (const HttpHeader& header : request.headers) {
      if (!IsValidHeader(header)) {
        return false;
      }
    }
    if (this->idle_handles.empty()) {
      transfer.easy.reset(curl_easy_init());
    } else {
      transfer.easy = std::move(this->idle_handles.back());
      this->idle_handles.pop_back();
    }
    CURL* const easy = transfer.easy.get();
    if (easy == nullptr) {
      return false;
    }
    transfer.header_list = MakeHeaderList(request.headers);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.header_list.get());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE,
                     static_cast<long>(this->settings.keep_alive_idle_time.count()));
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &TransferManager::OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxConnectionIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           this->settings.connect_timeout)
                                           .count()));
    this->SetMethod(easy, request);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &TransferManager::OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &OnDebugData);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBodyBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    return true;
  }

  static void SetMethod(CURL* easy, const HttpClientRequest& request) {
    if (request.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
      return;
    }
    const bool expects_body =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (!request.body.text().empty() || expects_body) {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.text().data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.text().size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }

  // A transfer that may keep its connection takes an idle one if there is one, so that idle
  // connections and those of such transfers stay within the limit together.
  void LimitKeptConnections(CurlTransfer& transfer) {
    std::size_t& kept = this->kept_per_address[std::string(AddressOf(transfer.request.url))];
    if (kept >= this->settings.max_kept_connections_per_address) {
      curl_easy_setopt(transfer.easy.get(), CURLOPT_FORBID_REUSE, 1L);
      return;
    }
    ++kept;
    transfer.keeps_connection = true;
  }

  void RemoveKeptConnection(const std::string& url) {
    const auto kept = this->kept_per_address.find(std::string(AddressOf(url)));
    if (--kept->second == 0) {
      this->kept_per_address.erase(kept);
    }
  }

  void RecycleHandle(EasyHandle easy) {
    if (this->idle_handles.size() < kMaxIdleHandles) {
      curl_easy_reset(easy.get());
      this->idle_handles.push_back(std::move(easy));
    }
  }

  void SocketAction(curl_socket_t descriptor, int events) {
    // Cancelling a wait has no effect on its handler if it is queued already.
    if (!this->multi) {
      return;
    }
    int still_running = 0;
    curl_multi_socket_action(this->multi.get(), descriptor, events, &still_running);
    this->EndCompletedTransfers();
  }

  void EndCompletedTransfers() {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(this->multi.get(), &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      char* data = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
      const auto transfer = reinterpret_cast<CurlTransfer*>(data)->shared_from_this();
      if (std::exchange(transfer->needs_other_connection, false)) {
        curl_multi_remove_handle(this->multi.get(), transfer->easy.get());
        if (curl_multi_add_handle(this->multi.get(), transfer->easy.get()) != CURLM_OK) {
          this->EndTransfer(transfer, TransferError::kConnectFailure);
        }
        continue;
      }
      this->EndTransfer(transfer, ErrorFromCurl(message->data.result, *transfer));
    }
  }

  // Called by libcurl when the events to poll a socket for change. libcurl stops polling before it
  // closes the socket or returns it to the connection pool, so a descriptor is registered only
  // while it is open. The close callback cannot replace this: libcurl 7.88 skips it when a
  // connection attempt times out.
  static int OnSocket(CURL*, curl_socket_t socket, int poll_events, void* data, void*) {
    auto& self = *static_cast<TransferManager*>(data);
    self.StopWatchingIdleConnection(socket);
    std::shared_ptr<SocketWatch>& watch = self.watches[socket];
    if (poll_events == CURL_POLL_REMOVE) {
      if (watch) {
        watch->poll_events = CURL_POLL_NONE;
        watch->descriptor.release();
      }
      self.watches.erase(socket);
      return 0;
    }
    if (!watch) {
      watch = std::make_shared<SocketWatch>(self.context, socket);
    }
    watch->poll_events = poll_events;
    self.WaitForEvents(watch);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* data) {
    auto& self = *static_cast<TransferManager*>(data);
    self.curl_timer.cancel();
    if (timeout_ms < 0) {
      return 0;
    }
    self.curl_timer.expires_after(std::chrono::milliseconds(timeout_ms));
    self.curl_timer.async_wait([&self](const asio::error_code& error) {
      if (!error) {
        self.SocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
    return 0;
  }

  // Starts an asynchronous wait for each requested event that has none pending.
  void WaitForEvents(const std::shared_ptr<SocketWatch>& watch) {
    if ((watch->poll_events & CURL_POLL_IN) != 0 && !std::exchange(watch->waiting_for_read, true)) {
      watch->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
                                   [this, watch](const asio::error_code& error) {
                                     watch->waiting_for_read = false;
                                     this->OnEvent(watch, error, CURL_POLL_IN, CURL_CSELECT_IN);
                                   });
    }
    if ((watch->poll_events & CURL_POLL_OUT) != 0 &&
        !std::exchange(watch->waiting_for_write, true)) {
      watch->descriptor.async_wait(asio::posix::descriptor_base::wait_write,
                                   [this, watch](const asio::error_code& error) {
                                     watch->waiting_for_write = false;
                                     this->OnEvent(watch, error, CURL_POLL_OUT, CURL_CSELECT_OUT);
                                   });
    }
  }

  void OnEvent(const std::shared_ptr<SocketWatch>& watch,
               const asio::error_code& error,
               int poll_flag,
               int select_flag) {
    if (error || (watch->poll_events & poll_flag) == 0) {
      return;
    }
    this->SocketAction(watch->descriptor.native_handle(), select_flag);
    this->WaitForEvents(watch);
  }

  const HttpClientSettings settings;
  asio::io_context context;
  asio::steady_timer curl_timer;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> watches;
  std::vector<EasyHandle> idle_handles;
  std::map<ConnectionKey, const CurlTransfer*> connection_users;
  // Of the open connections.
  std::map<ConnectionKey, CarriedRequests> carried_requests;
  std::map<ConnectionKey, curl_socket_t> idle_sockets;
  std::unordered_map<curl_socket_t, std::shared_ptr<IdleConnection>> idle_connections;
  MultiHandle multi;
  std::unordered_set<std::shared_ptr<CurlTransfer>> active_transfers;
  // Active transfers that may keep their connections.
  std::unordered_map<std::string, std::size_t> kept_per_address;
};

void CurlTransfer::EndAfterCallbacks(TransferError error) {
  if (const auto live_manager = this->manager.lock()) {
    asio::post(live_manager->event_loop(),
               [self = this->shared_from_this(), weak = this->manager, error] {
                 if (const auto owner = weak.lock()) {
                   owner->EndTransfer(self, error);
                 }
               });
  }
}

void CurlTransfer::Resume() {
  this->paused = false;
  if (const auto live_manager = this->manager.lock()) {
    asio::post(live_manager->event_loop(), [self = this->shared_from_this(), weak = this->manager] {
      if (const auto owner = weak.lock()) {
        owner->Resume(*self, self->paused_by_curl);
      }
    });
  }
}

class CurlClient : public HttpClient {
 public:
  explicit CurlClient(HttpClientSettings settings)
      : manager(std::make_shared<TransferManager>(settings)),
        work_guard(asio::make_work_guard(this->manager->event_loop())),
        thread([manager = this->manager] { manager->event_loop().run(); }) {}
  ~CurlClient() override {
    asio::post(this->manager->event_loop(), [this] {
      this->manager->Close();
      this->work_guard.reset();
    });
    this->thread.join();
  }
  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  std::shared_ptr<Transfer> Start(HttpClientRequest request, TransferCallbacks callbacks) override {
    auto transfer =
        std::make_shared<CurlTransfer>(this->manager, std::move(request), std::move(callbacks));
    asio::post(this->manager->event_loop(),
               [owner = this->manager.get(), transfer] { owner->StartTransfer(transfer); });
    return transfer;
  }

 private:
  std::shared_ptr<TransferManager> manager;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  std::thread thread;
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(HttpClientSettings settings) {
  static std::once_flag curl_initialised;
  std::call_once(curl_initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  return std::make_unique<CurlClient>(settings);
}

}  // namespace pimentopin

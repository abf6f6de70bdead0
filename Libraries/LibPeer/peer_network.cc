#include "Libraries/LibPeer/peer_network.h"

#include <spdlog/spdlog.h>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <set>
#include <utility>

#include "Libraries/LibPeer/endpoint.h"
#include "Libraries/LibPeer/incoming_connection.h"
#include "Libraries/LibPeer/outgoing_link.h"
#include "Libraries/LibProtocol/codec.h"

namespace pimentopin {
namespace {

// Delays the next accept after a failure. While the process has no free file
// descriptor, accepting fails immediately.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

// Accepts connections and passes received messages to the handler. Pending
// asynchronous operations share its ownership, so that they may complete after the
// network was destroyed.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& context,
           PeerNetwork::Handler on_envelope,
           std::shared_ptr<PeerCounters> shared_counters)
      : acceptor(context),
        timer(context),
        handler(std::move(on_envelope)),
        counters(std::move(shared_counters)) {}

  bool Listen(const asio::ip::tcp::endpoint& endpoint, Error& error) {
    asio::error_code failure;
    this->acceptor.open(endpoint.protocol(), failure);
    if (!failure) {
      this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
      this->acceptor.bind(endpoint, failure);
    }
    if (!failure) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      error = {ErrorCode::kInvalidArgument,
               "cannot listen on " + FormatEndpoint(endpoint) + ": " + failure.message()};
      return false;
    }
    this->Accept();
    return true;
  }

  std::string address() const {
    asio::error_code ignored;
    return FormatEndpoint(this->acceptor.local_endpoint(ignored));
  }

  void SetDropFilter(PeerNetwork::DropFilter filter) { this->drop_filter = std::move(filter); }

  void Close() {
    this->closed = true;
    asio::error_code ignored;
    this->acceptor.close(ignored);
    this->timer.cancel();
    for (const auto& connection : this->connections) {
      connection->Close();
    }
    this->connections.clear();
  }

 private:
  void Accept() {
    this->acceptor.async_accept([self = this->shared_from_this()](const asio::error_code& failure,
                                                                  asio::ip::tcp::socket socket) {
      if (self->closed) {
        return;
      }
      if (failure) {
        self->ScheduleAccept(failure);
        return;
      }
      self->AddConnection(std::move(socket));
      self->Accept();
    });
  }

  void ScheduleAccept(const asio::error_code& failure) {
    spdlog::warn("peer_accept_failed: {}", failure.message());
    this->timer.expires_after(kAcceptRetryDelay);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& cancelled) {
      if (!cancelled && !self->closed) {
        self->Accept();
      }
    });
  }

  void AddConnection(asio::ip::tcp::socket socket) {
    const std::weak_ptr<Listener> weak = this->weak_from_this();
    IncomingConnection::Callbacks callbacks;
    callbacks.on_payload = [weak](const std::string& payload, Error& error) {
      const auto self = weak.lock();
      return self != nullptr && self->Deliver(payload, error);
    };
    callbacks.on_malformed = [weak](const std::string& remote, const Error& error) {
      spdlog::warn("peer_frame_malformed: connection from {} closed: {}", remote, error.message);
      if (const auto self = weak.lock()) {
        ++self->counters->malformed_frames;
      }
    };
    callbacks.on_closed = [weak](const std::shared_ptr<IncomingConnection>& connection) {
      if (const auto self = weak.lock()) {
        self->connections.erase(connection);
      }
    };
    const auto connection =
        std::make_shared<IncomingConnection>(std::move(socket), std::move(callbacks));
    this->connections.insert(connection);
    connection->Start();
  }

  bool Deliver(const std::string& payload, Error& error) {
    const auto envelope = DecodeFrame(payload, error);
    if (!envelope) {
      return false;
    }
    if (this->drop_filter && this->drop_filter(envelope->sender)) {
      return true;
    }
    ++this->counters->frames_received;
    this->handler(*envelope);
    return true;
  }

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer timer;
  PeerNetwork::Handler handler;
  PeerNetwork::DropFilter drop_filter;
  std::shared_ptr<PeerCounters> counters;
  std::set<std::shared_ptr<IncomingConnection>> connections;
  bool closed = false;
};

class TcpPeerNetwork : public PeerNetwork {
 public:
  TcpPeerNetwork(asio::io_context& io_context, HostId host, DomainId host_domain, Handler handler)
      : context(io_context),
        self(host),
        domain(host_domain),
        shared_counters(std::make_shared<PeerCounters>()),
        listener(
            std::make_shared<Listener>(io_context, std::move(handler), this->shared_counters)) {}

  ~TcpPeerNetwork() override {
    this->listener->Close();
    for (const auto& [host, link] : this->links) {
      link->Close();
    }
  }

  TcpPeerNetwork(const TcpPeerNetwork&) = delete;
  TcpPeerNetwork& operator=(const TcpPeerNetwork&) = delete;

  bool Listen(const asio::ip::tcp::endpoint& endpoint, Error& error) {
    return this->listener->Listen(endpoint, error);
  }

  std::string address() const override { return this->listener->address(); }

  void SetPeer(HostId host, const std::string& address) override {
    if (host == this->self) {
      return;
    }
    Error error;
    const auto endpoint = ParseEndpoint(address, error);
    if (!endpoint) {
      spdlog::warn("peer_address_invalid: {}", error.message);
      return;
    }
    const auto found = this->links.find(host);
    if (found != this->links.end()) {
      found->second->SetEndpoint(*endpoint);
      return;
    }
    const std::uint64_t jitter_seed = StableHash(RawId(this->self), RawId(host));
    this->links.emplace(host, std::make_shared<OutgoingLink>(this->context, *endpoint, jitter_seed,
                                                             this->shared_counters));
  }

  void RemovePeer(HostId host) override {
    const auto found = this->links.find(host);
    if (found != this->links.end()) {
      found->second->Close();
      this->links.erase(found);
    }
  }

  void Send(HostId host, const Message& message) override {
    const auto found = this->links.find(host);
    std::string frame;
    if (found != this->links.end()) {
      frame = EncodeFrame({this->self, this->domain, message});
    }
    if (frame.empty()) {
      ++this->shared_counters->frames_dropped;
      return;
    }
    found->second->Send(std::move(frame));
  }

  std::optional<TimePoint> FailingSince(HostId host) const override {
    const auto found = this->links.find(host);
    return found == this->links.end() ? std::nullopt : found->second->failing_since();
  }

  void SetDropFilter(DropFilter filter) override {
    this->listener->SetDropFilter(std::move(filter));
  }

  PeerCounters counters() const override { return *this->shared_counters; }

 private:
  asio::io_context& context;
  const HostId self;
  const DomainId domain;
  std::shared_ptr<PeerCounters> shared_counters;
  std::shared_ptr<Listener> listener;
  std::map<HostId, std::shared_ptr<OutgoingLink>> links;
};

}  // namespace

std::unique_ptr<PeerNetwork> PeerNetwork::Create(asio::io_context& context,
                                                 const std::string& address,
                                                 HostId self,
                                                 DomainId domain,
                                                 Handler handler,
                                                 Error& error) {
  const auto endpoint = ParseEndpoint(address, error);
  if (!endpoint) {
    return nullptr;
  }
  auto network = std::make_unique<TcpPeerNetwork>(context, self, domain, std::move(handler));
  if (!network->Listen(*endpoint, error)) {
    return nullptr;
  }
  return network;
}

}  // namespace pimentopin

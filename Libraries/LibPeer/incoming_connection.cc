#include "Libraries/LibPeer/incoming_connection.h"

#include <asio/buffer.hpp>

#include <utility>

#include "Libraries/LibPeer/endpoint.h"
#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {
namespace {

// Peers close idle connections after kIdleTimeout. A peer that sends nothing for
// much longer has disappeared without closing the connection.
constexpr Duration kReceiveTimeout = 3 * PeerNetwork::kIdleTimeout;

}  // namespace

IncomingConnection::IncomingConnection(asio::ip::tcp::socket accepted_socket, Callbacks callbacks)
    : socket(std::move(accepted_socket)),
      timer(this->socket.get_executor()),
      callbacks(std::move(callbacks)) {}

void IncomingConnection::Start() {
  this->Read();
}

void IncomingConnection::Close() {
  this->closed = true;
  asio::error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
}

void IncomingConnection::Read() {
  const auto self = this->shared_from_this();
  this->timer.expires_after(kReceiveTimeout);
  this->timer.async_wait([self](const asio::error_code& cancelled) {
    if (!cancelled && !self->closed) {
      self->CloseAndNotify();
    }
  });
  this->socket.async_read_some(asio::buffer(this->read_buffer),
                               [self](const asio::error_code& failure, std::size_t bytes) {
                                 if (self->closed) {
                                   return;
                                 }
                                 if (failure) {
                                   self->CloseAndNotify();
                                   return;
                                 }
                                 self->OnRead(bytes);
                               });
}

void IncomingConnection::OnRead(std::size_t bytes) {
  this->frame_reader.Append({this->read_buffer.data(), bytes});
  Error error;
  // The callback may close this connection.
  while (!this->closed) {
    const auto payload = this->frame_reader.Next(error);
    if (!payload && error.code == ErrorCode::kNone) {
      // The next frame is incomplete.
      this->Read();
      return;
    }
    if (!payload || !this->callbacks.on_payload(*payload, error)) {
      asio::error_code ignored;
      this->callbacks.on_malformed(FormatEndpoint(this->socket.remote_endpoint(ignored)), error);
      this->CloseAndNotify();
      return;
    }
  }
}

void IncomingConnection::CloseAndNotify() {
  this->Close();
  this->callbacks.on_closed(this->shared_from_this());
}

}  // namespace pimentopin

#include "Libraries/LibPeer/incoming_link.h"

#include <asio/buffer.hpp>

#include <utility>

#include "Libraries/LibPeer/endpoint.h"
#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {
namespace {

// Senders close idle connections after kIdleTimeout; one that is silent for
// much longer has vanished without closing.
constexpr Duration kSilenceTimeout = 3 * PeerNetwork::kIdleTimeout;

}  // namespace

IncomingLink::IncomingLink(asio::ip::tcp::socket accepted, Hooks callbacks)
    : socket(std::move(accepted)),
      timer(this->socket.get_executor()),
      hooks(std::move(callbacks)) {}

void IncomingLink::Start() {
  this->Read();
}

void IncomingLink::Close() {
  this->closed = true;
  asio::error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
}

void IncomingLink::Read() {
  const auto self = this->shared_from_this();
  this->timer.expires_after(kSilenceTimeout);
  this->timer.async_wait([self](const asio::error_code& cancelled) {
    if (!cancelled && !self->closed) {
      self->Finish();
    }
  });
  this->socket.async_read_some(asio::buffer(this->chunk),
                               [self](const asio::error_code& failure, std::size_t bytes) {
                                 if (self->closed) {
                                   return;
                                 }
                                 if (failure) {
                                   self->Finish();
                                   return;
                                 }
                                 self->OnRead(bytes);
                               });
}

void IncomingLink::OnRead(std::size_t bytes) {
  this->reader.Append({this->chunk.data(), bytes});
  Error error;
  // The hook may close this link.
  while (!this->closed) {
    const auto payload = this->reader.Next(error);
    if (!payload && error.code == ErrorCode::kNone) {
      this->Read();
      return;
    }
    if (!payload || !this->hooks.on_payload(*payload, error)) {
      asio::error_code ignored;
      this->hooks.on_malformed(FormatEndpoint(this->socket.remote_endpoint(ignored)), error);
      this->Finish();
      return;
    }
  }
}

void IncomingLink::Finish() {
  this->Close();
  this->hooks.on_closed(this->shared_from_this());
}

}  // namespace pimentopin

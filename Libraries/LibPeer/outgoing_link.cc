#include "Libraries/LibPeer/outgoing_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <spdlog/spdlog.h>
#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibPeer/endpoint.h"

namespace pimentopin {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
// Value of TCP_USER_TIMEOUT. Without it, a peer that disappeared without closing
// its connections is detected only when the kernel gives up retransmitting, after
// about 15 minutes.
constexpr unsigned kTcpUserTimeoutMs = 2000;
// A write takes no further frames from this size on, so that frames for a slow peer
// stay in the backlog, where the oldest can be dropped.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;

}  // namespace

OutgoingLink::OutgoingLink(asio::io_context& context,
                           asio::ip::tcp::endpoint peer,
                           std::uint64_t seed,
                           std::shared_ptr<PeerCounters> shared_counters)
    : endpoint(std::move(peer)),
      socket(context),
      timer(context),
      counters(std::move(shared_counters)),
      jitter_seed(seed) {}

void OutgoingLink::Send(std::string frame) {
  if (this->state == State::kClosed) {
    return;
  }
  while (!this->backlog.empty() &&
         this->backlog_bytes + frame.size() > PeerNetwork::kMaxBacklogBytes) {
    this->backlog_bytes -= this->backlog.front().size();
    this->backlog.pop_front();
    ++this->counters->frames_dropped;
  }
  this->backlog_bytes += frame.size();
  this->backlog.push_back(std::move(frame));
  if (this->state == State::kIdle) {
    this->Connect();
  } else if (this->state == State::kConnected) {
    this->Write();
  }
}

void OutgoingLink::SetEndpoint(const asio::ip::tcp::endpoint& new_endpoint) {
  if (this->state == State::kClosed || this->endpoint == new_endpoint) {
    return;
  }
  this->endpoint = new_endpoint;
  this->failure_count = 0;
  this->first_connect_failure.reset();
  this->CloseSocket();
  this->state = State::kIdle;
  if (!this->backlog.empty()) {
    this->Connect();
  }
}

void OutgoingLink::Close() {
  this->CloseSocket();
  this->state = State::kClosed;
  this->counters->frames_dropped += this->backlog.size();
  this->backlog.clear();
  this->backlog_bytes = 0;
}

void OutgoingLink::CloseSocket() {
  ++this->generation;
  asio::error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  // It is unknown how many of these frames arrived. They are not sent again: a
  // message may be lost, but is never delivered twice.
  this->counters->frames_dropped += this->in_flight.size();
  this->in_flight.clear();
}

void OutgoingLink::Connect() {
  this->state = State::kConnecting;
  ++this->generation;
  const auto started_generation = this->generation;
  const auto self = this->shared_from_this();
  this->socket.async_connect(this->endpoint,
                             [self, started_generation](const asio::error_code& failure) {
                               if (started_generation == self->generation) {
                                 self->OnConnected(failure);
                               }
                             });
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait([self, started_generation](const asio::error_code& cancelled) {
    if (!cancelled && started_generation == self->generation && self->state == State::kConnecting) {
      self->OnConnectFailure();
    }
  });
}

void OutgoingLink::OnConnected(const asio::error_code& failure) {
  if (failure) {
    this->OnConnectFailure();
    return;
  }
  this->state = State::kConnected;
  ++this->counters->connections_opened;
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
               sizeof(kTcpUserTimeoutMs));
  this->WatchForClose();
  this->Write();
}

void OutgoingLink::OnConnectFailure() {
  this->first_connect_failure = this->first_connect_failure.value_or(SteadyNow());
  this->Disconnect();
}

void OutgoingLink::OnLost(const asio::error_code& failure) {
  // A peer that stops or closes an idle connection is no failure of the link.
  if (failure != asio::error::eof) {
    spdlog::warn("peer_link_lost: connection to {}: {}", FormatEndpoint(this->endpoint),
                 failure.message());
  }
  this->Disconnect();
}

void OutgoingLink::Disconnect() {
  this->CloseSocket();
  ++this->failure_count;
  this->ScheduleReconnect();
}

void OutgoingLink::ScheduleReconnect() {
  this->state = State::kBackoff;
  const std::uint32_t doublings = std::min(this->failure_count - 1, 16U);
  const Duration max_delay = std::min(kMinBackoff * (1 << doublings), kMaxBackoff);
  const auto min_delay = static_cast<std::uint64_t>(max_delay.count() / 2);
  const std::uint64_t jitter = StableHash(this->jitter_seed, this->failure_count) % min_delay;
  this->timer.expires_after(Duration(static_cast<Duration::rep>(min_delay + jitter)));
  const auto started_generation = this->generation;
  this->timer.async_wait(
      [self = this->shared_from_this(), started_generation](const asio::error_code& cancelled) {
        if (cancelled || started_generation != self->generation) {
          return;
        }
        self->state = State::kIdle;
        if (!self->backlog.empty()) {
          self->Connect();
        }
      });
}

void OutgoingLink::Write() {
  if (!this->in_flight.empty() || this->backlog.empty()) {
    return;
  }
  std::size_t bytes = 0;
  std::vector<asio::const_buffer> buffers;
  while (!this->backlog.empty() && bytes < kMaxWriteBytes) {
    bytes += this->backlog.front().size();
    this->in_flight.push_back(std::move(this->backlog.front()));
    this->backlog.pop_front();
  }
  this->backlog_bytes -= bytes;
  buffers.reserve(this->in_flight.size());
  for (const std::string& frame : this->in_flight) {
    buffers.push_back(asio::buffer(frame));
  }
  const auto started_generation = this->generation;
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this(), started_generation](
                        const asio::error_code& failure, std::size_t written) {
                      if (started_generation == self->generation) {
                        self->OnWritten(failure, written);
                      }
                    });
}

void OutgoingLink::OnWritten(const asio::error_code& failure, std::size_t bytes) {
  if (failure) {
    this->OnLost(failure);
    return;
  }
  this->failure_count = 0;
  this->first_connect_failure.reset();
  this->counters->frames_sent += this->in_flight.size();
  this->counters->bytes_sent += bytes;
  this->in_flight.clear();
  this->StartIdleTimer();
  this->Write();
}

void OutgoingLink::WatchForClose() {
  // The peer never sends on this connection. A completed read means that the peer
  // closed the connection or violates the protocol.
  const auto started_generation = this->generation;
  this->socket.async_read_some(asio::buffer(this->unexpected_input),
                               [self = this->shared_from_this(), started_generation](
                                   const asio::error_code& failure, std::size_t) {
                                 if (started_generation == self->generation) {
                                   self->OnLost(failure);
                                 }
                               });
}

void OutgoingLink::StartIdleTimer() {
  const auto started_generation = this->generation;
  this->timer.expires_after(PeerNetwork::kIdleTimeout);
  this->timer.async_wait(
      [self = this->shared_from_this(), started_generation](const asio::error_code& cancelled) {
        if (!cancelled && started_generation == self->generation && self->in_flight.empty()) {
          self->CloseSocket();
          self->state = State::kIdle;
        }
      });
}

}  // namespace pimentopin

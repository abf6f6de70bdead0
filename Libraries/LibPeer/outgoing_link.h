#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {

// Sends frames to one peer over a TCP connection that is opened on demand and
// reopened after failures. Nothing is received on it. Pending asynchronous
// operations share the ownership of the link; after Close() they have no effect.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink> {
 public:
  // `seed` is the seed of the reconnect jitter, which keeps several hosts from
  // reconnecting at the same time.
  OutgoingLink(asio::io_context& context,
               asio::ip::tcp::endpoint peer,
               std::uint64_t seed,
               std::shared_ptr<PeerCounters> shared_counters);

  void Send(std::string frame);
  // Changes the peer's address. Reconnects if it differs.
  void SetEndpoint(const asio::ip::tcp::endpoint& endpoint);
  void Close();
  // Time of the first connect failure since the last frame was written; empty if
  // there is none.
  std::optional<TimePoint> failing_since() const { return this->first_connect_failure; }

 private:
  enum class State { kIdle, kConnecting, kConnected, kBackoff, kClosed };

  void Connect();
  void OnConnected(const asio::error_code& failure);
  void OnConnectFailure();
  // Closes the socket and reconnects after the back-off time.
  // The established connection has failed or was closed by the peer.
  void OnLost(const asio::error_code& failure);
  void Disconnect();
  void CloseSocket();
  void ScheduleReconnect();
  void Write();
  void OnWritten(const asio::error_code& failure, std::size_t bytes);
  void WatchForClose();
  void StartIdleTimer();

  asio::ip::tcp::endpoint endpoint;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::shared_ptr<PeerCounters> counters;
  std::uint64_t jitter_seed;
  State state = State::kIdle;
  // Incremented for each new or closed socket; completions of operations of an
  // earlier generation are ignored.
  std::uint64_t generation = 0;
  std::optional<TimePoint> first_connect_failure;
  // Consecutive failures since the last frame was written.
  std::uint32_t failure_count = 0;
  std::deque<std::string> backlog;
  std::size_t backlog_bytes = 0;
  // Frames of the current write operation.
  std::vector<std::string> in_flight;
  std::array<char, 16> unexpected_input{};
};

}  // namespace pimentopin

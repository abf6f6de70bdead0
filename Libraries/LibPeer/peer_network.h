#pragma once

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Totals since the network was created.
struct PeerCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t bytes_sent = 0;
  // Frames that were not sent because the peer is unknown, the backlog was full,
  // the frame was too large, or the connection failed or was closed.
  std::uint64_t frames_dropped = 0;
  std::uint64_t frames_received = 0;
  // Each one closes the connection that it arrived on.
  std::uint64_t malformed_frames = 0;
  std::uint64_t connections_opened = 0;

  friend bool operator==(const PeerCounters&, const PeerCounters&) = default;
};

// Sends and receives messages between hosts over TCP, on the control thread's
// io_context. Each host opens its own connection to a peer and sends only on it, so
// that a one-way network failure affects one direction only. Sending never blocks:
// if the backlog of an unreachable or slow peer is full, its oldest frames are
// dropped. A connection is opened for the first frame and closed when no frame was
// sent for kIdleTimeout.
class PeerNetwork {
 public:
  using Handler = std::function<void(const Envelope&)>;
  using DropFilter = std::function<bool(HostId from)>;

  // Limit of the unsent bytes per peer. A single larger frame is still accepted.
  static constexpr std::size_t kMaxBacklogBytes = 256 * 1024;
  static constexpr Duration kIdleTimeout = std::chrono::seconds(60);

  // Listens on `address` (IP:port; port 0 lets the kernel choose) and passes each
  // received message to `handler`. Returns null and sets `error` if that fails.
  static std::unique_ptr<PeerNetwork> Create(asio::io_context& context,
                                             const std::string& address,
                                             HostId self,
                                             DomainId domain,
                                             Handler handler,
                                             Error& error);
  virtual ~PeerNetwork() = default;

  virtual std::string address() const = 0;
  // Adds a peer or changes its address (IP:port). An invalid address is logged and
  // ignored.
  virtual void SetPeer(HostId host, const std::string& address) = 0;
  virtual void RemovePeer(HostId host) = 0;
  virtual void Send(HostId host, const Message& message) = 0;
  // Time of the first connect failure since the last frame was sent to the peer;
  // empty while the connection works or is unused.
  virtual std::optional<TimePoint> FailingSince(HostId host) const = 0;
  // Discards received frames of senders for which the filter returns true. Used in
  // tests to simulate one-way network failures.
  virtual void SetDropFilter(DropFilter filter) = 0;
  virtual PeerCounters counters() const = 0;
};

}  // namespace pimentopin

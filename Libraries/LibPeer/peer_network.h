#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// TCP links to other hosts on the control thread's io_context. Each host opens
// its own outgoing connection to a peer and sends only on it, so a one-way cut
// affects one direction. Sending never blocks: frames for an unreachable or
// slow peer are dropped beyond a bounded backlog.
class PeerNetwork {
 public:
  using Handler = std::function<void(const Envelope&)>;

  // `address` is IP:port; port 0 lets the kernel choose.
  static std::unique_ptr<PeerNetwork> Create(asio::io_context& context,
                                             const std::string& address,
                                             HostId self,
                                             DomainId domain,
                                             Handler handler,
                                             Error& error);
  virtual ~PeerNetwork() = default;

  virtual std::string address() const = 0;
  // Sets or changes a peer's address (IP:port).
  virtual void SetPeer(HostId host, const std::string& address) = 0;
  virtual void RemovePeer(HostId host) = 0;
  virtual void Send(HostId host, const Message& message) = 0;
};

}  // namespace pimentopin

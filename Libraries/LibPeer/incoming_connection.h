#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Libraries/LibProtocol/frame_reader.h"

namespace pimentopin {

// A TCP connection opened by a peer. This host only reads from it.
class IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  struct Callbacks {
    // Handles the payload of one frame. Returns false and sets `error` if it is
    // malformed.
    std::function<bool(const std::string& payload, Error& error)> on_payload;
    // Called for a malformed frame, followed by on_closed.
    std::function<void(const std::string& remote, const Error& error)> on_malformed;
    // Called once when the connection ends, unless Close() was called before.
    std::function<void(const std::shared_ptr<IncomingConnection>& connection)> on_closed;
  };

  IncomingConnection(asio::ip::tcp::socket accepted_socket, Callbacks callbacks);

  void Start();
  void Close();

 private:
  void Read();
  void OnRead(std::size_t bytes);
  void CloseAndNotify();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  Callbacks callbacks;
  FrameReader frame_reader;
  bool closed = false;
  std::array<char, 16 * 1024> read_buffer{};
};

}  // namespace pimentopin

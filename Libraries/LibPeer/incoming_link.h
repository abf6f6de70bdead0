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

// A connection opened by a peer, from which this host only reads.
class IncomingLink : public std::enable_shared_from_this<IncomingLink> {
 public:
  struct Hooks {
    // Returns false if the payload is malformed.
    std::function<bool(const std::string& payload, Error& error)> on_payload;
    // A frame was malformed; on_closed follows.
    std::function<void(const std::string& remote, const Error& error)> on_malformed;
    // Called once unless Close() was called.
    std::function<void(const std::shared_ptr<IncomingLink>& link)> on_closed;
  };

  IncomingLink(asio::ip::tcp::socket accepted, Hooks callbacks);

  void Start();
  void Close();

 private:
  void Read();
  void OnRead(std::size_t bytes);
  void Finish();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  Hooks hooks;
  FrameReader reader;
  bool closed = false;
  std::array<char, 16 * 1024> chunk{};
};

}  // namespace pimentopin

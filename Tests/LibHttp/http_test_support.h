#pragma once

#include <poll.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Time limit for events that a test waits for. Generous, because the machine may be busy.
inline constexpr std::chrono::seconds kTestTimeout(20);

// Waits until the condition holds; false after kTestTimeout.
inline bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

// TCP connection with blocking calls for sending and checking exact bytes.
class RawConnection {
 public:
  explicit RawConnection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
  // `address` is IP:port.
  static RawConnection Open(asio::io_context& context, const std::string& address) {
    const std::size_t colon = address.rfind(':');
    asio::ip::tcp::socket connected(context);
    connected.connect({asio::ip::make_address(address.substr(0, colon)),
                       static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    return RawConnection(std::move(connected));
  }

  void Send(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

  // Sends the bytes again and again until the peer closes the connection; false if it does not
  // within kTestTimeout.
  bool SendUntilClosed(const std::string& bytes) {
    this->socket.non_blocking(true);
    std::size_t sent = 0;
    asio::error_code error;
    return Eventually([&] {
      do {
        sent += this->socket.write_some(asio::buffer(bytes) + sent, error);
        sent = sent == bytes.size() ? 0 : sent;
      } while (!error);
      return error != asio::error::would_block;
    });
  }

  // Reads until the text has been received or the connection has ended; returns all bytes not
  // returned before.
  std::string ReadUntil(const std::string& text) {
    while (this->received.find(text) == std::string::npos && this->ReadMore()) {
    }
    return std::exchange(this->received, {});
  }
  std::string ReadUntilClosed() {
    while (this->ReadMore()) {
    }
    return std::exchange(this->received, {});
  }
  // True if the peer has closed the connection and everything it sent has been read.
  bool IsClosedByPeer() {
    char byte = 0;
    return ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  // Error of the last read.
  const asio::error_code& last_read_error() const { return this->last_error; }

  void ShutdownSend() { this->socket.shutdown(asio::socket_base::shutdown_send); }
  void Close() { this->socket.close(); }
  void Reset() {
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->socket.close();
  }
  // Local address as IP:port.
  std::string local_address() const {
    std::ostringstream text;
    text << this->socket.local_endpoint();
    return text.str();
  }

 private:
  bool ReadMore() {
    std::array<char, 4096> buffer{};
    const std::size_t count = this->socket.read_some(asio::buffer(buffer), this->last_error);
    this->received.append(buffer.data(), count);
    return !this->last_error;
  }

  asio::ip::tcp::socket socket;
  std::string received;
  asio::error_code last_error;
};

// Listens on a port assigned by the kernel.
class RawServer {
 public:
  explicit RawServer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}
  RawConnection Accept() { return RawConnection(this->acceptor.accept()); }
  // True if Accept() returns without waiting for a connection.
  bool HasPendingConnection() {
    pollfd poll_entry{.fd = this->acceptor.native_handle(), .events = POLLIN, .revents = 0};
    return ::poll(&poll_entry, 1, 0) == 1;
  }
  std::string address() const {
    std::ostringstream text;
    text << this->acceptor.local_endpoint();
    return text.str();
  }
  std::string url(const std::string& path) const { return "http://" + this->address() + path; }
  // Resets connections that have not been accepted and refuses new ones.
  void Close() { this->acceptor.close(); }

 private:
  asio::ip::tcp::acceptor acceptor;
};

// Records the arguments of a transfer's callbacks.
class TransferRecorder {
 public:
  TransferCallbacks Callbacks() {
    return {.on_connection =
                [this](const ConnectionUse& use) {
                  const std::scoped_lock lock(this->mutex);
                  this->connection = use;
                },
            .on_headers =
                [this](int response_status, const HttpHeaders& response_headers) {
                  const std::scoped_lock lock(this->mutex);
                  this->status = response_status;
                  this->headers = response_headers;
                  ++this->on_headers_calls;
                  return !this->rejects;
                },
            .on_body =
                [this](const std::string& bytes) {
                  const std::scoped_lock lock(this->mutex);
                  this->body += bytes;
                },
            .on_end =
                [this](const TransferResult& result) {
                  const std::scoped_lock lock(this->mutex);
                  this->result = result;
                  ++this->on_end_calls;
                  this->ended.notify_all();
                }};
  }
  // False if the transfer did not end within kTestTimeout.
  bool Wait() {
    std::unique_lock lock(this->mutex);
    return this->ended.wait_for(lock, kTestTimeout, [this] { return this->on_end_calls > 0; });
  }
  std::size_t body_size() {
    const std::scoped_lock lock(this->mutex);
    return this->body.size();
  }
  bool has_connection() {
    const std::scoped_lock lock(this->mutex);
    return this->connection.has_value();
  }
  bool has_headers() {
    const std::scoped_lock lock(this->mutex);
    return this->on_headers_calls > 0;
  }

  // Set before the transfer starts.
  bool rejects = false;
  // Valid after Wait().
  int status = 0;
  HttpHeaders headers;
  std::string body;
  TransferResult result;
  std::optional<ConnectionUse> connection;
  int on_headers_calls = 0;
  int on_end_calls = 0;

 private:
  std::mutex mutex;
  std::condition_variable ended;
};

}  // namespace pimentopin

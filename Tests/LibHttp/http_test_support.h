#pragma once

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
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Time after which a test that waits for an event fails. Generous, because the machine may be busy.
inline constexpr std::chrono::seconds kTestPatience(20);

// Waits until the condition holds; false after kTestPatience.
inline bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

// Plain TCP connection with blocking calls, to send and see exact bytes.
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

  // Reads until the text has arrived or the connection has ended; returns everything unread so far.
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
  // Reason for which the last read ended.
  const asio::error_code& end_reason() const { return this->last_error; }

  void CloseSending() { this->socket.shutdown(asio::socket_base::shutdown_send); }
  void Close() { this->socket.close(); }
  void Reset() {
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->socket.close();
  }
  // Own end of the connection as IP:port.
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

// Listens on a port chosen by the kernel.
class RawServer {
 public:
  explicit RawServer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}
  RawConnection Accept() { return RawConnection(this->acceptor.accept()); }
  std::string address() const {
    std::ostringstream text;
    text << this->acceptor.local_endpoint();
    return text.str();
  }
  std::string url(const std::string& path) const { return "http://" + this->address() + path; }
  // Connections that wait to be accepted are reset, new ones are refused.
  void Close() { this->acceptor.close(); }

 private:
  asio::ip::tcp::acceptor acceptor;
};

// Collects what a transfer's hooks report.
class TransferRecord {
 public:
  TransferHooks Hooks() {
    return {.on_headers =
                [this](int code, const HttpHeaders& fields) {
                  const std::scoped_lock lock(this->mutex);
                  this->status = code;
                  this->headers = fields;
                  ++this->header_calls;
                },
            .on_body =
                [this](const std::string& bytes) {
                  const std::scoped_lock lock(this->mutex);
                  this->body += bytes;
                },
            .on_end =
                [this](const TransferEnd& transfer_end) {
                  const std::scoped_lock lock(this->mutex);
                  this->end = transfer_end;
                  ++this->end_calls;
                  this->ended.notify_all();
                }};
  }
  // False if the transfer did not end in time.
  bool Wait() {
    std::unique_lock lock(this->mutex);
    return this->ended.wait_for(lock, kTestPatience, [this] { return this->end_calls > 0; });
  }
  std::size_t body_size() {
    const std::scoped_lock lock(this->mutex);
    return this->body.size();
  }
  bool has_headers() {
    const std::scoped_lock lock(this->mutex);
    return this->header_calls > 0;
  }

  // To be read after Wait().
  int status = 0;
  HttpHeaders headers;
  std::string body;
  TransferEnd end;
  int header_calls = 0;
  int end_calls = 0;

 private:
  std::mutex mutex;
  std::condition_variable ended;
};

}  // namespace pimentopin

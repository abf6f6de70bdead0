#include "Libraries/LibCore/socket_address.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace pimentopin {
namespace {

// Longest text that is passed to asio: 45 characters of an IPv6 address and two brackets.
constexpr std::size_t kMaxIpLength = 47;

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || last != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon > kMaxIpLength) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const bool is_bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (is_bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  // inet_pton stops at a NUL byte and would ignore the bytes after it.
  if (!port || ip.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(std::string(ip), error);
  if (error || address.is_v6() != is_bracketed) {
    return std::nullopt;
  }
  return SocketAddress{.ip = address.to_string(), .port = *port};
}

std::string SocketAddress::ToText() const {
  const bool is_v6 = this->ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + this->ip + "]" : this->ip) + ":" + std::to_string(this->port);
}

}  // namespace pimentopin

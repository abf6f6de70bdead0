#include "Libraries/LibPeer/endpoint.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <sstream>

namespace pimentopin {

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address, Error& error) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    error = {ErrorCode::kInvalidArgument, "'" + address + "' is not IP:port"};
    return std::nullopt;
  }
  std::string ip = address.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto [parsed_end, status] = std::from_chars(address.data() + colon + 1, end, port);
  asio::error_code invalid;
  const asio::ip::address ip_address = asio::ip::make_address(ip, invalid);
  if (invalid || status != std::errc() || parsed_end != end) {
    error = {ErrorCode::kInvalidArgument, "'" + address + "' is not IP:port"};
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip_address, port);
}

std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream stream;
  stream << endpoint;
  return stream.str();
}

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopin {

// A numeric IP address with a port. IPv6 is written as [::1]:80.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  // Absent if the text is not IP:port. Host names are not resolved.
  static std::optional<SocketAddress> Parse(std::string_view text);

  // Canonical text, so that two spellings of one address compare equal.
  std::string ToText() const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

}  // namespace pimentopin

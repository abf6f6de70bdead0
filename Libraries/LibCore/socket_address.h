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

  // Returns std::nullopt if the text is not IP:port. Host names are not resolved.
  static std::optional<SocketAddress> Parse(std::string_view text);

  // Canonical text: different spellings of an address give the same text.
  std::string ToText() const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

}  // namespace pimentopin

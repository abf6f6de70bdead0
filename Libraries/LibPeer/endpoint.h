#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// Parses IP:port, with an IPv6 address in brackets. Host names are not resolved:
// anything else sets `error` to ErrorCode::kInvalidArgument and returns nothing.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address, Error& error);

// Formats an endpoint as IP:port, with an IPv6 address in brackets.
std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint);

}  // namespace pimentopin

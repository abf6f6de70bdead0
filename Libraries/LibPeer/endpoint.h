#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// Reads IP:port, with an IPv6 address in brackets. Names are not resolved.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address, Error& error);

// The reverse of ParseEndpoint.
std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint);

}  // namespace pimentopin

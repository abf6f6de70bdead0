#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Length prefix of a frame, little-endian.
constexpr std::size_t kFramePrefixBytes = 4;
// Largest payload of a frame.
constexpr std::size_t kMaxFramePayloadBytes = 1 << 20;
// Longest name of a host, change id or author.
constexpr std::size_t kMaxWireNameBytes = 255;
// Longest peer address; a bracketed IPv6 address with port has 47 bytes.
constexpr std::size_t kMaxWireAddressBytes = 64;
// Most elements of one list in a message.
constexpr std::size_t kMaxWireListEntries = 16384;
// Durations on the wire lie between zero and this.
constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 30);

// The whole frame: length prefix and payload. Durations are clamped to the wire
// range. Empty if a string, a list or the frame exceeds its limit.
std::string EncodeFrame(const Envelope& envelope);

// Reads the payload of a frame (without the prefix). The bytes need not be
// trusted; ErrorCode::kProtocol if they are not a valid message within limits.
std::optional<Envelope> DecodeFrame(std::string_view payload, Error& error);

}  // namespace pimentopin

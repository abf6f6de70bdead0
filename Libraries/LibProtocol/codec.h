#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Size of the little-endian length prefix of a frame.
constexpr std::size_t kFramePrefixBytes = 4;
// Maximum size of a frame's payload.
constexpr std::size_t kMaxFramePayloadBytes = 1 << 20;
// Maximum length of names and other short strings, such as row keys, change ids and
// authors.
constexpr std::size_t kMaxWireNameBytes = 255;
// Maximum length of a peer address. A bracketed IPv6 address with port has up to 47
// bytes.
constexpr std::size_t kMaxWireAddressBytes = 64;
// Maximum number of elements in one list of a message.
constexpr std::size_t kMaxWireListEntries = 16384;
// Maximum number of counters, of intervals of each, and of the number of an interval in a message
// about retries.
constexpr std::size_t kMaxWireRetryCounters = 8;
constexpr std::size_t kMaxWireRetryIntervals = 100;
constexpr std::uint64_t kMaxWireRetryInterval = 1'000'000'000'000;
// Maximum duration in a message; the minimum is zero.
// Limits of the versions of the store: a billion transactions a day for 48 years.
constexpr std::uint64_t kMaxWireVersionNumber = (std::uint64_t{1} << 44) - 1;
constexpr std::uint64_t kMaxWireEra = (std::uint64_t{1} << 20) - 1;
constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 30);

// Encodes an envelope as a frame: length prefix and payload. Clamps durations to
// the range from zero to kMaxWireDuration. Returns an empty string if a string, a
// list or the frame exceeds its limit.
std::string EncodeFrame(const Envelope& envelope);

// Decodes `payload`, a frame without its length prefix, which may be untrusted input.
// Returns std::nullopt and sets `error` to ErrorCode::kProtocol if the payload is not a
// valid message within the limits.
std::optional<Envelope> DecodeFrame(std::string_view payload, Error& error);

}  // namespace pimentopin

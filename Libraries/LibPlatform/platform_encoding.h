#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pimentopin {

// Header with which the platform states that it did not apply a write.
inline constexpr std::string_view kPlatformOutcomeHeader = "Platform-Outcome";
inline constexpr std::string_view kNotApplied = "not-applied";

// Percent-encodes a key for a path or a query value; '/' is kept.
std::string EncodeUrlPart(std::string_view text);
// Nothing if the text is not validly encoded.
std::optional<std::string> DecodeUrlPart(std::string_view text);

// Table values are arbitrary bytes, JSON strings are not: each byte becomes the code point of the
// same number. ASCII text stays as it is.
std::string EncodeTableValue(std::string_view bytes);
// Nothing if the text holds a code point above 255.
std::optional<std::string> DecodeTableValue(std::string_view text);

}  // namespace pimentopin

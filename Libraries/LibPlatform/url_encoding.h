#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pimentopin {

// Percent-encodes text for a path or a query value; '/' is not encoded.
std::string PercentEncode(std::string_view text);
// Returns std::nullopt if the text is not validly encoded.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace pimentopin

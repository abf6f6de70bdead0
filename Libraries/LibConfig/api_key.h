#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace pimentopin {

// Digest of a key by which callers identify themselves. The key itself is never kept, sent or
// logged.
struct ApiKeyDigest {
  // SHA-256.
  std::array<std::uint8_t, 32> bytes{};

  static ApiKeyDigest Of(std::string_view key);

  friend auto operator<=>(const ApiKeyDigest&, const ApiKeyDigest&) = default;
};

}  // namespace pimentopin

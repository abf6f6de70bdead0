#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/request_limits.h"

namespace pimentopin {

// Digest of a key by which callers identify themselves. The key itself is never kept, sent or
// logged.
struct ApiKeyDigest {
  // SHA-256.
  std::array<std::uint8_t, 32> bytes{};

  static ApiKeyDigest Of(std::string_view key);
  // Parses 64 lower-case hexadecimal digits.
  static std::optional<ApiKeyDigest> FromHex(std::string_view text);
  std::string ToHex() const;
  // Identifies the key in logs and differences: "sha256:" and the first 16 digits.
  std::string Abbreviation() const;

  friend auto operator<=>(const ApiKeyDigest&, const ApiKeyDigest&) = default;
};

inline constexpr std::size_t kMaxApiKeyBytes = kMaxHeaderLimitBytes;

}  // namespace pimentopin

template <>
struct std::hash<pimentopin::ApiKeyDigest> {
  std::size_t operator()(const pimentopin::ApiKeyDigest& digest) const {
    std::size_t prefix = 0;
    std::memcpy(&prefix, digest.bytes.data(), sizeof(prefix));
    return prefix;
  }
};

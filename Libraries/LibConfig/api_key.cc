#include "Libraries/LibConfig/api_key.h"

#include <openssl/sha.h>

namespace pimentopin {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kAbbreviationDigits = 16;

}  // namespace

ApiKeyDigest ApiKeyDigest::Of(std::string_view key) {
  ApiKeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
  return digest;
}

std::optional<ApiKeyDigest> ApiKeyDigest::FromHex(std::string_view text) {
  ApiKeyDigest digest;
  if (text.size() != 2 * digest.bytes.size()) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < digest.bytes.size(); ++index) {
    const std::size_t high = kHexDigits.find(text[2 * index]);
    const std::size_t low = kHexDigits.find(text[2 * index + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest.bytes[index] = static_cast<std::uint8_t>(high << 4U | low);
  }
  return digest;
}

std::string ApiKeyDigest::ToHex() const {
  std::string text;
  text.reserve(2 * this->bytes.size());
  for (const std::uint8_t byte : this->bytes) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xfU];
  }
  return text;
}

std::string ApiKeyDigest::Abbreviation() const {
  return "sha256:" + this->ToHex().substr(0, kAbbreviationDigits);
}

}  // namespace pimentopin

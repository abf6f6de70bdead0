#include "Libraries/LibPlatform/url_encoding.h"

#include <charconv>

namespace pimentopin {
namespace {

bool IsUnreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("-._~/").find(character) != std::string_view::npos;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded += character;
    } else {
      const auto byte = static_cast<unsigned char>(character);
      encoded += '%';
      encoded += kHexDigits[byte >> 4];
      encoded += kHexDigits[byte & 15];
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] != '%') {
      decoded += text[position];
      continue;
    }
    const std::string_view digits = text.substr(position + 1, 2);
    unsigned int byte = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    position += 2;
  }
  return decoded;
}

}  // namespace pimentopin

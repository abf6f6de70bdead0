#include "Libraries/LibIdempotency/claim_row_key.h"

#include <fmt/format.h>

#include <string_view>

namespace pimentopin {
namespace {

bool IsPlain(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_';
}

// Escapes as ~XX rather than %XX and escapes dots too: the result passes through a
// URL path unchanged, whether or not the table client percent-encodes it.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (IsPlain(character)) {
      escaped.push_back(character);
    } else {
      escaped += fmt::format("~{:02X}", static_cast<unsigned char>(character));
    }
  }
  return escaped;
}

}  // namespace

std::string ClaimRowKey(const ClaimKey& key) {
  return "claim/" + Escape(key.service) + "/" + Escape(key.organisation) + "/" + Escape(key.key);
}

}  // namespace pimentopin

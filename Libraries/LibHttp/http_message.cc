#include "Libraries/LibHttp/http_message.h"

#include <strings.h>

#include <algorithm>

namespace pimentopin {

bool EqualHeaderNames(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& header) {
    return EqualHeaderNames(header.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

bool IsValidHeader(const HttpHeader& header) {
  const auto is_invalid_in_value = [](char character) {
    return (static_cast<unsigned char>(character) < 0x20 && character != '\t') || character == 0x7f;
  };
  const auto is_invalid_in_name = [](char character) {
    return character == ':' || static_cast<unsigned char>(character) <= 0x20 || character == 0x7f;
  };
  return !header.name.empty() &&
         std::none_of(header.name.begin(), header.name.end(), is_invalid_in_name) &&
         std::none_of(header.value.begin(), header.value.end(), is_invalid_in_value);
}

}  // namespace pimentopin

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

bool IsSendableHeader(const HttpHeader& header) {
  const auto is_control = [](char symbol) {
    return (static_cast<unsigned char>(symbol) < 0x20 && symbol != '\t') || symbol == 0x7f;
  };
  const auto is_separator = [](char symbol) {
    return symbol == ':' || static_cast<unsigned char>(symbol) <= 0x20 || symbol == 0x7f;
  };
  return !header.name.empty() &&
         std::none_of(header.name.begin(), header.name.end(), is_separator) &&
         std::none_of(header.value.begin(), header.value.end(), is_control);
}

}  // namespace pimentopin

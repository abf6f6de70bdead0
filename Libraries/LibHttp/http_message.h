#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentopin {

struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Compares two header names without regard to case.
bool EqualHeaderNames(std::string_view left, std::string_view right);

// False if the name or value contains a character that is not allowed in a header field, such as a
// line break.
bool IsValidHeader(const HttpHeader& header);

// Value of the first header with this name, compared without regard to case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace pimentopin

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

// False if name or value would break the framing of a message, for example by a line break.
bool IsSendableHeader(const HttpHeader& header);

// First header of that name, compared without regard to case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace pimentopin

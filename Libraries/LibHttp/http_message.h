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

// First header of that name, compared without regard to case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace pimentopin

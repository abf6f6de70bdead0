#pragma once

#include <cstddef>
#include <string_view>

namespace pimentopin {

struct ExpectedBody {
  std::string_view service;
  // Start of the request ids that the answer may be for. Copies of a keyed
  // request share it, since one may get the stored answer of the other.
  std::string_view id_prefix;
  // Bytes of the pattern after the first line.
  std::size_t size = 0;
};

// True if the body is the whole answer of the target stand-in to the expected
// request: a line of JSON, then a pattern that depends on the request id.
bool IsExpectedBody(std::string_view body, const ExpectedBody& expected);

}  // namespace pimentopin

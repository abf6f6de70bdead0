#pragma once

#include <cstddef>
#include <string_view>

namespace pimentopin {

struct ExpectedBody {
  std::string_view service;
  // Prefix of the expected request id. Duplicates of a request with an idempotency
  // key share it, since one may receive the stored response of the other.
  std::string_view id_prefix;
  // Number of bytes of the pattern after the first line.
  std::size_t pattern_size = 0;
};

// Returns true if the body is the complete response of the target stand-in to the
// expected request: a line of JSON, then a pattern that depends on the request id.
bool IsExpectedBody(std::string_view body, const ExpectedBody& expected);

}  // namespace pimentopin

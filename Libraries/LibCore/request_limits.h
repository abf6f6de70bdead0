#pragma once

#include <cstddef>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Upper bound for RequestLimits::max_body_bytes.
inline constexpr std::size_t kMaxBodyLimitBytes = 1 << 30;

// Upper bound for RequestLimits::max_header_bytes. http_parser rejects headers of 80 KiB or more.
inline constexpr std::size_t kMaxHeaderLimitBytes = 80 << 10;

// Limits on the size and the duration of a caller's request.
struct RequestLimits {
  // Sum of request target, field names and field values.
  std::size_t max_header_bytes = 64 << 10;
  std::size_t max_body_bytes = 1 << 20;
  // Maximum time from the first byte of a request to the end of its header, and
  // between two parts of its body.
  Duration header_timeout = std::chrono::seconds(10);
  // Time after which a connection without a request is closed. Longer than the
  // 60 s after which common load balancers close idle connections themselves.
  Duration idle_timeout = std::chrono::seconds(75);

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

}  // namespace pimentopin

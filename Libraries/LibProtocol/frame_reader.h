#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// Splits a byte stream into the payloads of length-prefixed frames. Holds at
// most one incomplete frame and what was appended after it.
class FrameReader {
 public:
  void Append(std::string_view bytes);
  // The next complete payload; std::nullopt if more bytes are needed. A length
  // of zero or above kMaxFramePayloadBytes sets `error` to
  // ErrorCode::kProtocol; the stream is unusable from then on.
  std::optional<std::string> Next(Error& error);

  std::size_t buffered_bytes() const { return this->buffer.size() - this->consumed; }

 private:
  std::string buffer;
  // Bytes at the front of `buffer` that were already returned.
  std::size_t consumed = 0;
};

}  // namespace pimentopin

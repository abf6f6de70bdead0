#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// Splits a byte stream into the payloads of length-prefixed frames. Between calls it
// buffers at most one incomplete frame and the bytes appended after it.
class FrameReader {
 public:
  void Append(std::string_view bytes);
  // Returns the next complete payload, or nothing if more bytes are needed. A length
  // of zero or above kMaxFramePayloadBytes sets `error` to ErrorCode::kProtocol; the
  // rest of the stream cannot be parsed.
  std::optional<std::string> Next(Error& error);

  std::size_t buffered_bytes() const { return this->buffer.size() - this->consumed; }

 private:
  std::string buffer;
  // Number of bytes at the front of `buffer` that were already returned.
  std::size_t consumed = 0;
};

}  // namespace pimentopin

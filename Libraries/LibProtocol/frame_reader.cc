#include "Libraries/LibProtocol/frame_reader.h"

#include <cstdint>

#include "Libraries/LibProtocol/codec.h"

namespace pimentopin {

void FrameReader::Append(std::string_view bytes) {
  this->buffer.erase(0, this->consumed);
  this->consumed = 0;
  this->buffer.append(bytes);
}

std::optional<std::string> FrameReader::Next(Error& error) {
  if (this->buffered_bytes() < kFramePrefixBytes) {
    return std::nullopt;
  }
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < kFramePrefixBytes; ++index) {
    const auto byte = static_cast<unsigned char>(this->buffer[this->consumed + index]);
    length |= static_cast<std::uint32_t>(byte) << (8 * index);
  }
  if (length == 0 || length > kMaxFramePayloadBytes) {
    error = {ErrorCode::kProtocol, "frame length " + std::to_string(length) + " is out of range"};
    return std::nullopt;
  }
  if (this->buffered_bytes() < kFramePrefixBytes + length) {
    return std::nullopt;
  }
  std::string payload = this->buffer.substr(this->consumed + kFramePrefixBytes, length);
  this->consumed += kFramePrefixBytes + length;
  return payload;
}

}  // namespace pimentopin

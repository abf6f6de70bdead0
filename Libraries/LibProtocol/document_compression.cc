#include "Libraries/LibProtocol/document_compression.h"

#include <zlib.h>

#include <string>

namespace pimentopin {
namespace {

Bytef* WritableBytes(std::string& text) {
  return reinterpret_cast<Bytef*>(text.data());
}

const Bytef* Bytes(const std::string& text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::optional<CompressedConfigurationDocument> Compress(const ConfigurationDocument& document) {
  if (document.content.size() > kMaxDocumentContentBytes) {
    return std::nullopt;
  }
  CompressedConfigurationDocument compressed{
      .document = document, .content_bytes = static_cast<std::uint32_t>(document.content.size())};
  compressed.document.content.clear();
  uLongf size = compressBound(document.content.size());
  compressed.compressed_content.resize(size);
  const int status = compress2(WritableBytes(compressed.compressed_content), &size,
                               Bytes(document.content), document.content.size(), Z_BEST_SPEED);
  if (status != Z_OK) {
    return std::nullopt;
  }
  compressed.compressed_content.resize(size);
  return compressed;
}

std::optional<ConfigurationDocument> Decompress(const CompressedConfigurationDocument& compressed,
                                                Error& error) {
  if (compressed.content_bytes > kMaxDocumentContentBytes) {
    error = {ErrorCode::kProtocol, "document exceeds its length limit"};
    return std::nullopt;
  }
  ConfigurationDocument document = compressed.document;
  document.content.resize(compressed.content_bytes);
  uLongf size = compressed.content_bytes;
  const int status =
      uncompress(WritableBytes(document.content), &size, Bytes(compressed.compressed_content),
                 compressed.compressed_content.size());
  if (status != Z_OK || size != compressed.content_bytes) {
    error = {ErrorCode::kProtocol, "document content is not valid compressed data of its size"};
    return std::nullopt;
  }
  return document;
}

}  // namespace pimentopin

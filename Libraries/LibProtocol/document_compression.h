#pragma once

#include <optional>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Largest content in bytes that Decompress accepts. A document comes from an untrusted connection
// and must not exhaust the memory of a small host.
constexpr std::size_t kMaxDocumentContentBytes = 16 << 20;

// Compresses the content of a document with zlib. Returns std::nullopt if the content is larger
// than kMaxDocumentContentBytes or memory is exhausted.
std::optional<CompressedConfigurationDocument> Compress(const ConfigurationDocument& document);

// Restores a document. Returns std::nullopt and sets `error` to ErrorCode::kProtocol if the content
// is not valid zlib data of the stated size.
std::optional<ConfigurationDocument> Decompress(const CompressedConfigurationDocument& compressed,
                                                Error& error);

}  // namespace pimentopin

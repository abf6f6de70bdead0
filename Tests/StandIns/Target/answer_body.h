#pragma once

#include <cstddef>
#include <string>

namespace pimentopin {

// Body of a target's answer: one line of JSON with service, path, request id and size, then `size`
// bytes of a pattern that depends on the request id. A reader can tell that the body is whole and
// belongs to its own request.
std::string MakeAnswerBody(const std::string& service,
                           const std::string& path,
                           const std::string& request_id,
                           std::size_t size);

// Value of the header Content-Digest (RFC 9530) with SHA-256.
std::string ContentDigest(const std::string& body);

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <string>

namespace pimentopin {

// Returns the body of a target's response: one line of JSON with service, path, request id and
// size, then `pattern_size` bytes of a pattern that depends on the request id. The receiver can
// verify that the body is complete and belongs to its request.
std::string MakeResponseBody(const std::string& service,
                             const std::string& path,
                             const std::string& request_id,
                             std::size_t pattern_size);

// Returns the value of the header Content-Digest (RFC 9530) with SHA-256.
std::string ContentDigest(const std::string& body);

}  // namespace pimentopin

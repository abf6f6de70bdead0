#include "Tests/StandIns/Target/response_body.h"

#include <openssl/evp.h>

#include <array>
#include <nlohmann/json.hpp>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

std::string MakeResponseBody(const std::string& service,
                             const std::string& path,
                             const std::string& request_id,
                             std::size_t pattern_size) {
  const nlohmann::json line = {
      {"service", service}, {"path", path}, {"request_id", request_id}, {"size", pattern_size}};
  std::string body = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  const std::uint64_t offset = StableHash(request_id) % 26;
  body.reserve(body.size() + pattern_size);
  for (std::size_t index = 0; index < pattern_size; ++index) {
    body += static_cast<char>('a' + (offset + index) % 26);
  }
  return body;
}

std::string ContentDigest(const std::string& body) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int digest_size = 0;
  EVP_Digest(body.data(), body.size(), digest.data(), &digest_size, EVP_sha256(), nullptr);
  // Base64 encodes three bytes as four characters, and EVP_EncodeBlock appends a null byte.
  std::array<unsigned char, EVP_MAX_MD_SIZE * 2> encoded{};
  const int length = EVP_EncodeBlock(encoded.data(), digest.data(), static_cast<int>(digest_size));
  return "sha-256=:" + std::string(encoded.begin(), encoded.begin() + length) + ":";
}

}  // namespace pimentopin

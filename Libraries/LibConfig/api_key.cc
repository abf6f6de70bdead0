#include "Libraries/LibConfig/api_key.h"

#include <openssl/sha.h>

namespace pimentopin {

ApiKeyDigest ApiKeyDigest::Of(std::string_view key) {
  ApiKeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
  return digest;
}

}  // namespace pimentopin

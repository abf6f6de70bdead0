#include "Libraries/LibHost/content_digest.h"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace pimentopin {
namespace {

constexpr std::string_view kSha256Prefix = "sha-256=:";

EVP_MD_CTX* ToDigestContext(void* context) {
  return static_cast<EVP_MD_CTX*>(context);
}

}  // namespace

void ContentDigest::ContextDeleter::operator()(void* pointer) const {
  EVP_MD_CTX_free(ToDigestContext(pointer));
}

std::optional<ContentDigest> ContentDigest::Create(std::string_view field) {
  const std::size_t start = field.find(kSha256Prefix);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view value = field.substr(start + kSha256Prefix.size());
  std::unique_ptr<void, ContextDeleter> context(EVP_MD_CTX_new());
  if (!context || EVP_DigestInit_ex(ToDigestContext(context.get()), EVP_sha256(), nullptr) != 1) {
    return std::nullopt;
  }
  return ContentDigest(std::string(value.substr(0, value.find(':'))), std::move(context));
}

ContentDigest::ContentDigest(std::string expected, std::unique_ptr<void, ContextDeleter> context)
    : expected(std::move(expected)), context(std::move(context)) {}

void ContentDigest::Update(std::string_view bytes) {
  EVP_DigestUpdate(ToDigestContext(this->context.get()), bytes.data(), bytes.size());
}

bool ContentDigest::Matches() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_DigestFinal_ex(ToDigestContext(this->context.get()), digest.data(), &size) != 1) {
    return false;
  }
  std::array<unsigned char, 2 * EVP_MAX_MD_SIZE> text{};
  const int length = EVP_EncodeBlock(text.data(), digest.data(), static_cast<int>(size));
  return this->expected == std::string_view(reinterpret_cast<const char*>(text.data()),
                                            static_cast<std::size_t>(length));
}

}  // namespace pimentopin

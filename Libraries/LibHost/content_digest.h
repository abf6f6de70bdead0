#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopin {

// Verifies a streamed body against a Content-Digest field (RFC 9530).
class ContentDigest {
 public:
  // No value if the field has no sha-256 digest.
  static std::optional<ContentDigest> Create(std::string_view field);

  void Update(std::string_view bytes);
  // True if all bytes passed to Update() have the expected digest. Call once.
  bool Matches();

 private:
  struct ContextDeleter {
    void operator()(void* context) const;
  };

  ContentDigest(std::string expected, std::unique_ptr<void, ContextDeleter> context);

  // Base64, as in the field.
  std::string expected;
  std::unique_ptr<void, ContextDeleter> context;
};

}  // namespace pimentopin

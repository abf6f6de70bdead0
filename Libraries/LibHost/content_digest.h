#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopin {

// Checks a body against a Content-Digest field (RFC 9530) while it streams.
class ContentDigest {
 public:
  // Nothing if the field names no sha-256 digest.
  static std::optional<ContentDigest> Create(std::string_view field);

  void Update(std::string_view bytes);
  // True if the bytes so far have the announced digest. Call once.
  bool Matches();

 private:
  struct ContextDeleter {
    void operator()(void* context) const;
  };

  ContentDigest(std::string expected, std::unique_ptr<void, ContextDeleter> context);

  // Base64 as in the field.
  std::string expected;
  std::unique_ptr<void, ContextDeleter> context;
};

}  // namespace pimentopin

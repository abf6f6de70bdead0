#pragma once

#include <memory>
#include <string>
#include <utility>

namespace pimentopin {

// Immutable bytes of a request body. Copies share the bytes.
class HttpBody {
 public:
  HttpBody() = default;
  // Implicit, like the conversions of the string.
  HttpBody(std::string bytes)  // NOLINT(google-explicit-constructor)
      : bytes(std::make_shared<const std::string>(std::move(bytes))) {}
  HttpBody(const char* bytes)  // NOLINT(google-explicit-constructor)
      : HttpBody(std::string(bytes)) {}
  // `bytes` must not be null. Its deleter runs when the last copy of the body is destroyed.
  explicit HttpBody(std::shared_ptr<const std::string> bytes) : bytes(std::move(bytes)) {}

  const std::string& text() const {
    static const std::string empty;
    return this->bytes ? *this->bytes : empty;
  }

  friend bool operator==(const HttpBody& left, const HttpBody& right) {
    return left.text() == right.text();
  }

 private:
  std::shared_ptr<const std::string> bytes;
};

}  // namespace pimentopin

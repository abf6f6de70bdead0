#pragma once

#include <string>

namespace pimentopin {

enum class ErrorCode {
  kNone,
  kInvalidArgument,
  kInvalidConfiguration,
  kNotFound,
  kConflict,
  kUnreachable,
  // The operation may or may not have taken effect.
  kUnknownOutcome,
  kTooLarge,
  kProtocol,
  kInternal,
};

// Describes why a function failed, for example why it returned std::nullopt.
struct Error {
  ErrorCode code = ErrorCode::kNone;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace pimentopin

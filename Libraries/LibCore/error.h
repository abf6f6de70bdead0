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

// Last reason of a function that returns std::nullopt.
struct Error {
  ErrorCode code = ErrorCode::kNone;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace pimentopin

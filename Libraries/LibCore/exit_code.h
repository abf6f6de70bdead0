#pragma once

namespace pimentopin {

// Exit codes of the programs; docs/OPERATIONS.md lists them for operators.
enum class ExitCode {
  kSuccess = 0,
  kInternalError = 1,
  kUsage = 2,
  kInvalidConfiguration = 3,
  kConflict = 4,
  // No host was reachable, or none could execute the command; nothing was changed.
  kUnreachable = 5,
  // The change may or may not have taken effect.
  kUnknownOutcome = 6,
};

}  // namespace pimentopin

#pragma once

namespace pimentopin {

// Exit codes of the programs; docs/OPERATIONS.md lists them for operators.
enum class ExitCode {
  kSuccess = 0,
  kInternalError = 1,
  kUsage = 2,
  kInvalidConfiguration = 3,
  kConflict = 4,
  // No host could be reached, or none could run the command; nothing changed.
  kUnreachable = 5,
  // The change may or may not have taken effect.
  kUnknownOutcome = 6,
};

}  // namespace pimentopin

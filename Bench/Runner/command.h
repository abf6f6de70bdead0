#pragma once

#include <string_view>
#include <vector>

namespace pimentopin::bench {

// Subcommand of pimentopin-bench. `run` receives the name of the subcommand as
// argv[0] and returns the exit code.
struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, char** argv);
};

const std::vector<Command>& Commands();

// Exit codes of all subcommands. kExitFailure means that a bound was missed.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

}  // namespace pimentopin::bench

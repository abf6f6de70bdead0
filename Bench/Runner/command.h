#pragma once

#include <string_view>
#include <vector>

namespace pimentopin::bench {

// A subcommand of pimentopin-bench; argv[0] is its name.
struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, char** argv);
};

const std::vector<Command>& Commands();

// Exit codes of all commands.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

}  // namespace pimentopin::bench

#include <fmt/core.h>

#include <cstdio>
#include <exception>
#include <string_view>

#include "Bench/Runner/command.h"

namespace {

int Run(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const pimentopin::bench::Command& command : pimentopin::bench::Commands()) {
    if (command.name == name) {
      return command.run(argc - 1, argv + 1);
    }
  }
  fmt::print(stderr, "usage: pimentopin-bench COMMAND [OPTIONS]\n");
  for (const pimentopin::bench::Command& command : pimentopin::bench::Commands()) {
    fmt::print(stderr, "  {:10} {}\n", command.name, command.summary);
  }
  return pimentopin::bench::kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& exception) {
    fmt::print(stderr, "pimentopin-bench: {}\n", exception.what());
    return pimentopin::bench::kExitUsage;
  }
}

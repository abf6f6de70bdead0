#include "Bench/Runner/command.h"

#include "Bench/Runner/blocking_command.h"
#include "Bench/Runner/crest_command.h"
#include "Bench/Runner/gray_command.h"
#include "Bench/Runner/slopes_command.h"

namespace pimentopin::bench {

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands{
      {"blocking", "short work behind long work", RunBlockingCommand},
      {"crest", "demand peak of three times the capacity", RunCrestCommand},
      {"gray", "detection of gray targets and false ejections", RunGrayCommand},
      {"slopes", "cost of state and messages against size", RunSlopesCommand},
  };
  return commands;
}

}  // namespace pimentopin::bench

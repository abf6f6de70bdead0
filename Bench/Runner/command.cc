#include "Bench/Runner/command.h"

#include "Bench/Runner/blocking_command.h"
#include "Bench/Runner/gray_failure_command.h"
#include "Bench/Runner/peak_load_command.h"
#include "Bench/Runner/placement_command.h"
#include "Bench/Runner/slopes_command.h"

namespace pimentopin::bench {

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands{
      {"blocking", "head-of-line blocking of short work by long work", RunBlockingCommand},
      {"crest", "peak demand of three times the capacity", RunPeakLoadCommand},
      {"gray", "detection of gray failures, and false ejections", RunGrayFailureCommand},
      {"placement", "placement of requests of uneven cost", RunPlacementCommand},
      {"slopes", "time, memory, bytes and messages by number of items or hosts, with a fitted line",
       RunSlopesCommand},
  };
  return commands;
}

}  // namespace pimentopin::bench

#pragma once

namespace pimentopin::bench {

int RunGrayFailureCommand(int argc, char** argv);

}  // namespace pimentopin::bench

#pragma once

namespace pimentopin::bench {

int RunGrayCommand(int argc, char** argv);

}  // namespace pimentopin::bench

#pragma once

namespace pimentopin::bench {

int RunCrestCommand(int argc, char** argv);

}  // namespace pimentopin::bench

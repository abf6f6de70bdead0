#pragma once

namespace pimentopin::bench {

int RunBlockingCommand(int argc, char** argv);

}  // namespace pimentopin::bench

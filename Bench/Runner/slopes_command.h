#pragma once

namespace pimentopin::bench {

int RunSlopesCommand(int argc, char** argv);

}  // namespace pimentopin::bench

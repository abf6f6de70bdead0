#pragma once

namespace pimentopin::bench {

int RunPeakLoadCommand(int argc, char** argv);

}  // namespace pimentopin::bench

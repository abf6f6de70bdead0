#pragma once

namespace pimentopin::bench {

// Compares the placements of requests that look alike and cost different amounts of work.
int RunPlacementCommand(int argc, char** argv);

}  // namespace pimentopin::bench

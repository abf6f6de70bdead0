#pragma once

namespace pimentopin::bench {

// Measures costs at several numbers of items (such as targets or routes) or hosts: CPU or virtual
// time, heap memory, bytes, bytes/s or messages, as the unit of the row says. Fits a line to each
// cost against the number (its logarithm to base 2 for "doubling of hosts"), and prints the slope,
// which is the cost for each item, host or doubling, and the intercept.
int RunSlopesCommand(int argc, char** argv);

}  // namespace pimentopin::bench

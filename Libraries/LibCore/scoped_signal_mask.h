#pragma once

#include <csignal>
#include <vector>

namespace pimentopin {

// Blocks signals for the calling thread, and for the threads that it starts, for good.
void BlockSignals(const std::vector<int>& signals);

// Blocks or unblocks signals for the calling thread, and for the threads that it starts, until the
// end of the scope.
class ScopedSignalMask {
 public:
  // `how` is SIG_BLOCK or SIG_UNBLOCK.
  ScopedSignalMask(int how, const std::vector<int>& signals);
  // Restores the previous mask. Call on the thread that created the object.
  ~ScopedSignalMask();
  ScopedSignalMask(const ScopedSignalMask&) = delete;
  ScopedSignalMask& operator=(const ScopedSignalMask&) = delete;

 private:
  sigset_t previous{};
};

}  // namespace pimentopin

#pragma once

#include <csignal>
#include <vector>

namespace pimentopin {

// Blocks signals in the calling thread, and in the threads that it creates meanwhile. Signals that
// arrive are delivered at the end of the scope.
class ScopedSignalBlock {
 public:
  explicit ScopedSignalBlock(const std::vector<int>& signals) {
    sigset_t set;
    sigemptyset(&set);
    for (const int number : signals) {
      sigaddset(&set, number);
    }
    pthread_sigmask(SIG_BLOCK, &set, &this->previous);
  }
  ~ScopedSignalBlock() { pthread_sigmask(SIG_SETMASK, &this->previous, nullptr); }
  ScopedSignalBlock(const ScopedSignalBlock&) = delete;
  ScopedSignalBlock& operator=(const ScopedSignalBlock&) = delete;

 private:
  sigset_t previous{};
};

}  // namespace pimentopin

#include "Libraries/LibCore/scoped_signal_mask.h"

namespace pimentopin {

namespace {

sigset_t MakeSet(const std::vector<int>& signals) {
  sigset_t set{};
  sigemptyset(&set);
  for (const int number : signals) {
    sigaddset(&set, number);
  }
  return set;
}

}  // namespace

void BlockSignals(const std::vector<int>& signals) {
  const sigset_t set = MakeSet(signals);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

ScopedSignalMask::ScopedSignalMask(int how, const std::vector<int>& signals) {
  const sigset_t set = MakeSet(signals);
  pthread_sigmask(how, &set, &this->previous);
}

ScopedSignalMask::~ScopedSignalMask() {
  pthread_sigmask(SIG_SETMASK, &this->previous, nullptr);
}

}  // namespace pimentopin

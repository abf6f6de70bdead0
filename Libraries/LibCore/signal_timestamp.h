#pragma once

#include <csignal>
#include <optional>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Records when the first of the given signals arrived and then calls the handler that was installed
// before. One instance at a time.
class SignalTimestamp {
 public:
  explicit SignalTimestamp(const std::vector<int>& signals);
  // Restores the handlers that were installed before.
  ~SignalTimestamp();
  SignalTimestamp(const SignalTimestamp&) = delete;
  SignalTimestamp& operator=(const SignalTimestamp&) = delete;

  // Empty if no signal has arrived. Callable from any thread.
  std::optional<TimePoint> first() const;

 private:
  std::vector<std::pair<int, struct sigaction>> previous;
};

}  // namespace pimentopin

#pragma once

#include <csignal>
#include <optional>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// The time at which a signal was sent lies between these two.
struct SignalTime {
  TimePoint sent_after;
  TimePoint sent_before;

  friend bool operator==(const SignalTime&, const SignalTime&) = default;
};

// Bounds the time at which the first of the given signals was sent, and calls the handler that was
// installed before. One instance at a time. One thread must handle the signals, and all others
// block them.
class SignalTimestamp {
 public:
  // Callable from a signal handler.
  using Clock = TimePoint (*)();

  explicit SignalTimestamp(const std::vector<int>& signals, Clock clock = SteadyNow);
  // Restores the handlers that were installed before.
  ~SignalTimestamp();
  SignalTimestamp(const SignalTimestamp&) = delete;
  SignalTimestamp& operator=(const SignalTimestamp&) = delete;

  // States that the thread that handles the signals runs at `now`. A signal that arrives later was
  // not sent before this time.
  void RecordRunning(TimePoint now);
  // Time of the first signal: between the last call of RecordRunning() before it was handled, or
  // the start of the process, and its handling. Empty if no signal has arrived. Callable from any
  // thread, and also finds a signal that waits for the thread that handles it. Calls in which it
  // was not yet pending, and in which it was, bound its time more closely.
  std::optional<SignalTime> first() const;

 private:
  bool IsPending() const;

  std::vector<std::pair<int, struct sigaction>> previous;
};

}  // namespace pimentopin

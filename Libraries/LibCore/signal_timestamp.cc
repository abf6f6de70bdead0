#include "Libraries/LibCore/signal_timestamp.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>

namespace pimentopin {
namespace {

// A signal handler receives no context, so that its data is static.
// Microseconds of the steady clock. The kernel does not tell when a signal was sent, and a process
// that is kept from running handles it later.
std::atomic<std::int64_t> last_running_us = SteadyNow().time_since_epoch().count();
// Of the first signal; the time of its handling is zero if none has arrived.
std::atomic<std::int64_t> sent_after_us = 0;
std::atomic<std::int64_t> handled_us = 0;
std::array<std::atomic<void (*)(int)>, NSIG> chained_handlers{};

static_assert(std::atomic<std::int64_t>::is_always_lock_free);
static_assert(std::atomic<void (*)(int)>::is_always_lock_free);

void OnSignal(int number) {
  const int saved_errno = errno;
  if (handled_us == 0) {
    sent_after_us = last_running_us.load();
    handled_us = SteadyNow().time_since_epoch().count();
  }
  if (void (*const handler)(int) = chained_handlers.at(static_cast<std::size_t>(number))) {
    handler(number);
  }
  errno = saved_errno;
}

}  // namespace

SignalTimestamp::SignalTimestamp(const std::vector<int>& signals) {
  handled_us = 0;
  for (const int number : signals) {
    struct sigaction current {};
    sigaction(number, nullptr, &current);
    const bool has_handler = current.sa_handler != SIG_DFL && current.sa_handler != SIG_IGN;
    chained_handlers.at(static_cast<std::size_t>(number)) =
        has_handler ? current.sa_handler : nullptr;
    struct sigaction recording = current;
    recording.sa_handler = OnSignal;
    sigaction(number, &recording, nullptr);
    this->previous.emplace_back(number, current);
  }
}

SignalTimestamp::~SignalTimestamp() {
  for (const auto& [number, action] : this->previous) {
    sigaction(number, &action, nullptr);
  }
}

void SignalTimestamp::RecordRunning(TimePoint now) {
  last_running_us = now.time_since_epoch().count();
}

std::optional<SignalTime> SignalTimestamp::first() const {
  // Read first: the signal may be handled, and RecordRunning() called, after it was seen pending.
  const TimePoint last_running = TimePoint(Duration(last_running_us));
  const bool is_pending = this->IsPending();
  if (handled_us != 0) {
    return SignalTime{TimePoint(Duration(sent_after_us)), TimePoint(Duration(handled_us))};
  }
  return is_pending ? std::optional(SignalTime{last_running, SteadyNow()}) : std::nullopt;
}

bool SignalTimestamp::IsPending() const {
  sigset_t pending{};
  return sigpending(&pending) == 0 &&
         std::ranges::any_of(this->previous, [&pending](const auto& entry) {
           return sigismember(&pending, entry.first) == 1;
         });
}

}  // namespace pimentopin

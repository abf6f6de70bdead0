#include "Libraries/LibCore/signal_timestamp.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <limits>

namespace pimentopin {
namespace {

// A signal handler receives no context, so that its data is static.
// Microseconds of the steady clock. The kernel does not tell when a signal was sent, and a process
// that is kept from running handles it later.
std::atomic<std::int64_t> last_running_us = SteadyNow().time_since_epoch().count();
// Of the first signal; the time of its handling is zero if none has arrived.
std::atomic<std::int64_t> sent_after_us = 0;
std::atomic<std::int64_t> handled_us = 0;
// Last time at which a thread found no signal pending.
std::atomic<std::int64_t> last_clear_us = 0;
// Bounds of the first signal by threads that found it pending.
std::atomic<std::int64_t> seen_after_us = 0;
std::atomic<std::int64_t> seen_before_us = std::numeric_limits<std::int64_t>::max();
std::atomic<SignalTimestamp::Clock> current_clock = SteadyNow;
std::array<std::atomic<void (*)(int)>, NSIG> chained_handlers{};

static_assert(std::atomic<std::int64_t>::is_always_lock_free);
static_assert(std::atomic<void (*)(int)>::is_always_lock_free);
static_assert(std::atomic<SignalTimestamp::Clock>::is_always_lock_free);

std::int64_t NowUs() {
  return current_clock.load()().time_since_epoch().count();
}

void StoreMaximum(std::atomic<std::int64_t>& value, std::int64_t candidate) {
  std::int64_t current = value;
  while (current < candidate && !value.compare_exchange_weak(current, candidate)) {
  }
}

void StoreMinimum(std::atomic<std::int64_t>& value, std::int64_t candidate) {
  std::int64_t current = value;
  while (current > candidate && !value.compare_exchange_weak(current, candidate)) {
  }
}

void OnSignal(int number) {
  const int saved_errno = errno;
  if (handled_us == 0) {
    sent_after_us = last_running_us.load();
    handled_us = NowUs();
  }
  if (void (*const handler)(int) = chained_handlers.at(static_cast<std::size_t>(number))) {
    handler(number);
  }
  errno = saved_errno;
}

}  // namespace

SignalTimestamp::SignalTimestamp(const std::vector<int>& signals, Clock clock) {
  current_clock = clock;
  handled_us = 0;
  last_clear_us = 0;
  seen_after_us = 0;
  seen_before_us = std::numeric_limits<std::int64_t>::max();
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
  current_clock = SteadyNow;
}

void SignalTimestamp::RecordRunning(TimePoint now) {
  last_running_us = now.time_since_epoch().count();
}

std::optional<SignalTime> SignalTimestamp::first() const {
  // Read first: the signal may be handled, and RecordRunning() called, after it was seen pending.
  const std::int64_t last_running = last_running_us;
  // A signal is pending from when it is sent until it is handled, so one that is pending now was
  // not sent before a thread found none. Otherwise nothing follows from the latter: the signal may
  // have left the queue while its handler has yet to run.
  const std::int64_t last_clear = last_clear_us;
  const std::int64_t checked_at = NowUs();
  const bool is_pending = handled_us == 0 && this->IsPending();
  if (handled_us != 0) {
    return SignalTime{TimePoint(Duration(std::max<std::int64_t>(sent_after_us, seen_after_us))),
                      TimePoint(Duration(std::min<std::int64_t>(handled_us, seen_before_us)))};
  }
  if (!is_pending) {
    StoreMaximum(last_clear_us, checked_at);
    return std::nullopt;
  }
  StoreMaximum(seen_after_us, std::max(last_running, last_clear));
  StoreMinimum(seen_before_us, NowUs());
  return SignalTime{TimePoint(Duration(seen_after_us)), TimePoint(Duration(seen_before_us))};
}

bool SignalTimestamp::IsPending() const {
  sigset_t pending{};
  return sigpending(&pending) == 0 &&
         std::ranges::any_of(this->previous, [&pending](const auto& entry) {
           return sigismember(&pending, entry.first) == 1;
         });
}

}  // namespace pimentopin

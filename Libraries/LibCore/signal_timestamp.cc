#include "Libraries/LibCore/signal_timestamp.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>

namespace pimentopin {
namespace {

// A signal handler receives no context, so that its data is static.
// Microseconds of the steady clock; zero if no signal has arrived.
std::atomic<std::int64_t> first_signal_us = 0;
std::array<std::atomic<void (*)(int)>, NSIG> chained_handlers{};

static_assert(std::atomic<std::int64_t>::is_always_lock_free);
static_assert(std::atomic<void (*)(int)>::is_always_lock_free);

void OnSignal(int number) {
  const int saved_errno = errno;
  std::int64_t expected = 0;
  first_signal_us.compare_exchange_strong(expected, SteadyNow().time_since_epoch().count());
  if (void (*const handler)(int) = chained_handlers.at(static_cast<std::size_t>(number))) {
    handler(number);
  }
  errno = saved_errno;
}

}  // namespace

SignalTimestamp::SignalTimestamp(const std::vector<int>& signals) {
  first_signal_us = 0;
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

std::optional<TimePoint> SignalTimestamp::first() const {
  const std::int64_t microseconds = first_signal_us;
  return microseconds == 0 ? std::nullopt : std::optional(TimePoint(Duration(microseconds)));
}

}  // namespace pimentopin

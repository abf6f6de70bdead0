#pragma once

#include <chrono>
#include <optional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Clock that counts while the machine is suspended, unlike SteadyNow(). Limits that must hold for
// the rest of the fleet are measured with it.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
};

using BootTimePoint = BootClock::time_point;

// Reads CLOCK_BOOTTIME.
BootTimePoint BootNow();

// Steady clock of the platform's store, as stated in its responses.
struct StoreTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<StoreTimeline>;
};

using StoreTimePoint = StoreTimeline::time_point;

// Bounds the time of the store by its responses to this host. The bounds widen with the time since
// the last response, as the two clocks may run at different rates.
class StoreClock {
 public:
  // The store stated `at_store` in the response to a call that was sent and answered at these
  // times. Narrows the bounds. Returns false if the store's clock has jumped, so that times of the
  // store from before this response mean nothing; then the response alone sets the bounds.
  bool Observe(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store);
  // The latest and the earliest time that the store's clock can show now; empty before the first
  // response.
  std::optional<StoreTimePoint> Latest(BootTimePoint now) const;
  std::optional<StoreTimePoint> Earliest(BootTimePoint now) const;

  // Time of the last response; empty before the first one.
  std::optional<BootTimePoint> observed_at() const { return this->last_answer; }

  friend bool operator==(const StoreClock&, const StoreClock&) = default;

 private:
  // What the clocks may have drifted apart since the last response.
  Duration Drift(BootTimePoint now) const;

  // Bounds of the difference between the store's clock and this host's.
  std::optional<Duration> latest_offset;
  std::optional<Duration> earliest_offset;
  std::optional<BootTimePoint> last_answer;
};

}  // namespace pimentopin

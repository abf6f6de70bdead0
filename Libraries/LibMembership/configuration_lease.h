#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// What a read of the store showed: when the store's clock was at `at`, `revision` was the newest
// configuration.
struct ConfigurationConfirmation {
  StoreTimePoint at;
  std::uint64_t revision = 0;

  friend bool operator==(const ConfigurationConfirmation&,
                         const ConfigurationConfirmation&) = default;
};

// How long the active configuration may decide on keys. Immutable, for any thread.
struct LeaseTerm {
  StoreClock clock;
  // Time of the store; empty if nothing confirms the configuration.
  std::optional<StoreTimePoint> end;

  // A thread reads the term, then the configuration, then the time: a term never outlasts a later
  // configuration, and a pause between the reads can only end it.
  bool Covers(BootTimePoint now) const;

  friend bool operator==(const LeaseTerm&, const LeaseTerm&) = default;
};

// Decides how long this host may accept keys by its active configuration, so that a key which the
// newest configuration in the store lacks is accepted nowhere once the revocation time has passed
// since the store confirmed that configuration. All ends are times of the store: neither a late
// message nor a pause or suspension of this host can extend them.
class ConfigurationLease {
 public:
  // For the resolution of the store's clock, and the time between a read of the rows and a read of
  // the clock there.
  static constexpr Duration kMargin = std::chrono::milliseconds(100);
  // Confirmations of revisions that are not active yet.
  static constexpr std::size_t kMaxPending = 16;
  // Bounds the drift between the clocks of this host and of the store.
  static constexpr Duration kClockInterval = std::chrono::minutes(5);

  explicit ConfigurationLease(Duration revocation_time) : duration(revocation_time - kMargin) {}

  // The store stated its time in the response to a call of this host.
  void ObserveStoreTime(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store);
  // A read by this host or another one has shown the newest configuration.
  void Confirm(BootTimePoint now, const ConfigurationConfirmation& confirmation);
  void SetActiveRevision(std::uint64_t revision);

  LeaseTerm term() const;
  // Time of the store up to which the active configuration is known to be the newest one, for other
  // hosts; empty once the lease has ended, as the store's clock may have jumped since.
  std::optional<StoreTimePoint> ConfirmedAt(BootTimePoint now) const;
  // True if this host should call the store to learn its time.
  bool NeedsStoreTime(BootTimePoint now) const;

 private:
  void Apply(const ConfigurationConfirmation& confirmation);
  // Ignores times of the store that lie in its future: its clock has jumped since they were read.
  bool IsPossible(BootTimePoint now, StoreTimePoint at) const;

  const Duration duration;
  StoreClock clock;
  std::uint64_t active_revision = 0;
  std::optional<StoreTimePoint> confirmed;
  std::vector<ConfigurationConfirmation> pending;
  // A confirmation contradicted this host's bounds of the store's clock.
  bool clock_doubtful = false;
};

}  // namespace pimentopin

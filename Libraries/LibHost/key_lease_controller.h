#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibMembership/configuration_lease.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// What a traffic thread needs to decide on a request.
struct ActiveConfiguration {
  // Null before the first configuration.
  std::shared_ptr<const Configuration> configuration;
  // True if the configuration may decide on keys.
  bool keys_confirmed = false;
};

// Callable from any thread.
ActiveConfiguration ReadActiveConfiguration(const SharedState& shared_state,
                                            const std::function<BootTimePoint()>& clock);

// Publishes for how long this host may accept keys, logs changes, and calls the store if this host
// does not know its time. Runs on the control thread.
class KeyLeaseController {
 public:
  struct Settings {
    // Time after which no host accepts a withdrawn key.
    Duration revocation_time{};
    // Makes a cheap call of the store and calls `done` when it has ended.
    std::function<void(std::function<void()> done)> call_store;
    std::function<BootTimePoint()> clock;
    // Called when keys are accepted again or no more.
    std::function<void()> on_changed;
  };

  KeyLeaseController(SharedState& shared_state, Settings settings);

  void OnStoreTime(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store);
  void OnConfirmed(const ConfigurationConfirmation& confirmation);
  void OnDigest(const StoreDigest& digest);
  void SetActiveRevision(std::uint64_t revision);
  std::optional<StoreTimePoint> ConfirmedAt() const;
  bool accepts_keys() const { return this->accepted; }
  // Call about every second.
  void Tick();

 private:
  void Publish();

  SharedState& shared_state;
  const Settings settings;
  ConfigurationLease lease;
  bool accepted = false;
  bool calling_store = false;
};

}  // namespace pimentopin

#include "Libraries/LibHost/key_lease_controller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/json_log.h"

namespace pimentopin {

ActiveConfiguration ReadActiveConfiguration(const SharedState& shared_state,
                                            const std::function<BootTimePoint()>& clock) {
  // In this order, so that no older configuration is used with the lease of a newer one, and no
  // lease that ended while the thread was paused.
  const auto term = shared_state.key_lease.Read();
  ActiveConfiguration active{.configuration = shared_state.configuration.Read()};
  active.keys_confirmed = !term || term->Covers(clock());
  return active;
}

KeyLeaseController::KeyLeaseController(SharedState& shared_state, Settings controller_settings)
    : shared_state(shared_state),
      settings(std::move(controller_settings)),
      lease(this->settings.revocation_time) {
  this->Publish();
}

void KeyLeaseController::OnStoreTime(BootTimePoint sent,
                                     BootTimePoint answered,
                                     StoreTimePoint at_store) {
  this->lease.ObserveStoreTime(sent, answered, at_store);
  this->Publish();
}

void KeyLeaseController::OnConfirmed(const ConfigurationConfirmation& confirmation) {
  this->lease.Confirm(this->settings.clock(), confirmation);
  this->Publish();
}

void KeyLeaseController::OnDigest(const StoreDigest& digest) {
  if (digest.confirmed_store_time) {
    this->OnConfirmed(
        {.at = *digest.confirmed_store_time, .revision = digest.configuration_revision});
  }
}

void KeyLeaseController::SetActiveRevision(std::uint64_t revision) {
  this->lease.SetActiveRevision(revision);
  this->Publish();
}

std::optional<StoreTimePoint> KeyLeaseController::ConfirmedAt() const {
  return this->lease.ConfirmedAt(this->settings.clock());
}

void KeyLeaseController::Tick() {
  this->Publish();
  if (this->lease.NeedsStoreTime(this->settings.clock()) &&
      !std::exchange(this->calling_store, true)) {
    this->settings.call_store([this] { this->calling_store = false; });
  }
}

void KeyLeaseController::Publish() {
  const LeaseTerm term = this->lease.term();
  this->shared_state.key_lease.Write(term);
  const bool covered = term.Covers(this->settings.clock());
  if (covered == std::exchange(this->accepted, covered)) {
    return;
  }
  Log(covered ? LogLevel::kInfo : LogLevel::kWarning,
      covered ? "key_lease_renewed" : "key_lease_lapsed",
      {{"revocation_ms", Milliseconds(this->settings.revocation_time)}});
  this->settings.on_changed();
}

}  // namespace pimentopin

#include "Libraries/LibMembership/configuration_lease.h"

#include <algorithm>

namespace pimentopin {

bool LeaseTerm::Covers(BootTimePoint now) const {
  const std::optional<StoreTimePoint> latest = this->clock.Latest(now);
  return latest && this->end && *latest < *this->end;
}

void ConfigurationLease::ObserveStoreTime(BootTimePoint sent,
                                          BootTimePoint answered,
                                          StoreTimePoint at_store) {
  this->clock_doubtful = false;
  if (!this->clock.Observe(sent, answered, at_store)) {
    this->confirmed.reset();
    this->pending.clear();
    return;
  }
  // Confirmations from before the first response could not be checked.
  std::erase_if(this->pending, [&](const ConfigurationConfirmation& confirmation) {
    return !this->IsPossible(answered, confirmation.at);
  });
  if (this->confirmed && !this->IsPossible(answered, *this->confirmed)) {
    this->confirmed.reset();
  }
}

bool ConfigurationLease::IsPossible(BootTimePoint now, StoreTimePoint at) const {
  const std::optional<StoreTimePoint> latest = this->clock.Latest(now);
  return !latest || at <= *latest + kMargin;
}

void ConfigurationLease::Confirm(BootTimePoint now, const ConfigurationConfirmation& confirmation) {
  if (!this->IsPossible(now, confirmation.at)) {
    this->clock_doubtful = true;
    return;
  }
  if (confirmation.revision <= this->active_revision) {
    this->Apply(confirmation);
    return;
  }
  if (this->pending.size() == kMaxPending) {
    this->pending.erase(this->pending.begin());
  }
  this->pending.push_back(confirmation);
}

void ConfigurationLease::Apply(const ConfigurationConfirmation& confirmation) {
  this->confirmed = std::max(this->confirmed, std::optional(confirmation.at));
}

void ConfigurationLease::SetActiveRevision(std::uint64_t revision) {
  this->active_revision = revision;
  std::erase_if(this->pending, [this](const ConfigurationConfirmation& confirmation) {
    const bool is_active = confirmation.revision <= this->active_revision;
    if (is_active) {
      this->Apply(confirmation);
    }
    return is_active;
  });
}

LeaseTerm ConfigurationLease::term() const {
  return {.clock = this->clock,
          .end = this->confirmed ? std::optional(*this->confirmed + this->duration) : std::nullopt};
}

std::optional<StoreTimePoint> ConfigurationLease::ConfirmedAt(BootTimePoint now) const {
  return this->term().Covers(now) ? this->confirmed : std::nullopt;
}

bool ConfigurationLease::NeedsStoreTime(BootTimePoint now) const {
  const std::optional<BootTimePoint> observed_at = this->clock.observed_at();
  return !observed_at || this->clock_doubtful || now - *observed_at >= kClockInterval;
}

}  // namespace pimentopin

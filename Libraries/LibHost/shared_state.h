#pragma once

#include <vector>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibDispatch/target_hold_offs.h"
#include "Libraries/LibHealth/crash_fingerprint_registry.h"
#include "Libraries/LibHost/snapshot.h"
#include "Libraries/LibMembership/configuration_lease.h"
#include "Libraries/LibMembership/leaving_targets.h"
#include "Libraries/LibProtocol/membership_messages.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Whether the load balancer should send callers to this host.
struct Readiness {
  bool has_configuration = false;
  // The table of registered targets has been read, if there is one.
  bool has_targets = false;
  // The configuration requires keys, and nothing confirms that it is the newest one.
  bool keys_unconfirmed = false;
  // There was no recent contact with any peer or with the store.
  bool isolated = false;
  bool shutting_down = false;

  bool ready() const {
    return this->has_configuration && this->has_targets && !this->keys_unconfirmed &&
           !this->isolated && !this->shutting_down;
  }
  friend bool operator==(const Readiness&, const Readiness&) = default;
};

// State shared by the controllers of a host. Snapshots are written on the control thread
// and may be read on any thread.
struct SharedState {
  // The active configuration, including registered targets.
  Snapshot<Configuration> configuration;
  // Targets that registered themselves in the platform's store, by name.
  Snapshot<std::vector<RegisteredTarget>> registered_targets;
  // Metadata and text of the active configuration.
  Snapshot<ConfigurationDocument> document;
  Snapshot<std::vector<MemberRecord>> members;
  // Hosts that may act as brokers.
  Snapshot<std::vector<HostId>> broker_candidates;
  // The last view of each service that this host used.
  Snapshot<std::vector<ServiceView>> views;
  Snapshot<Readiness> readiness;
  // Never written if keys are withdrawn without a time limit.
  Snapshot<LeaseTerm> key_lease;

  // Control thread only.
  LeavingTargets leaving_targets;
  TargetHoldOffs hold_offs;
  CrashFingerprintRegistry fingerprints;
};

}  // namespace pimentopin

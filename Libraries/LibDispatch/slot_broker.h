#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/service_health.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

struct BrokerTarget {
  TargetId target{};
  DomainId domain{};
  std::uint32_t slots = 1;
  bool leaving = false;

  friend bool operator==(const BrokerTarget&, const BrokerTarget&) = default;
};

struct BrokerConfiguration {
  ServiceId service{};
  std::uint32_t floor_slots = 0;
  std::uint32_t queue_limit = 0;
  std::vector<BrokerTarget> targets;

  friend bool operator==(const BrokerConfiguration&, const BrokerConfiguration&) = default;
};

// Shares the slots of one service between all hosts: queue, fairness between
// organisations, adaptive share of long work, fleet-wide retry budget, target
// health. Its state is soft; a new broker rebuilds it from host reports.
class SlotBroker {
 public:
  explicit SlotBroker(BrokerConfiguration configuration);

  std::vector<SendToHost> Configure(TimePoint now, BrokerConfiguration configuration);
  std::vector<SendToHost> OnRequest(TimePoint now,
                                    HostId sender,
                                    DomainId sender_domain,
                                    const SlotRequest& request,
                                    bool fingerprint_blocked);
  std::vector<SendToHost> OnCancel(TimePoint now, HostId sender, const SlotCancel& cancel);
  std::vector<SendToHost> OnClaim(TimePoint now,
                                  HostId sender,
                                  DomainId sender_domain,
                                  const SlotClaim& claim);
  std::vector<SendToHost> OnRelease(TimePoint now,
                                    HostId sender,
                                    DomainId sender_domain,
                                    const SlotRelease& release);
  std::vector<SendToHost> OnReport(TimePoint now,
                                   HostId sender,
                                   DomainId sender_domain,
                                   const HostReport& report);
  // A probe's outcome, seen by any host.
  void OnProbe(TimePoint now, const HealthEvidence& evidence);
  // Frees the slots and queue entries of a host that is dead.
  std::vector<SendToHost> OnHostDead(TimePoint now, HostId host);
  // Call every 10 ms: expires queue entries, pushes views.
  std::vector<SendToHost> Tick(TimePoint now);

  std::vector<HealthEvent> TakeHealthEvents();
  ServiceView View(TimePoint now) const;
};

}  // namespace pimentopin

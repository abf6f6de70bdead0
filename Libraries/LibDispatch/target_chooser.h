#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_service_state.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/request_state.h"

namespace pimentopin {

// Chooses targets without a broker's grant: for optimistic starts, for the
// fallback without a broker, and for the baseline policies. Keeps no state
// about requests.
class TargetChooser {
 public:
  // Both arguments must outlive the chooser.
  TargetChooser(const DispatchSettings& dispatch_settings, RandomSource& random_source);

  // Sets the number of hosts that share the targets, for this host's share of
  // slots in fallback.
  void SetHostCount(std::size_t count) { this->host_count = count; }

  // Configured targets that the caller may use and that are not leaving.
  std::vector<TargetId> AllowedTargets(const DispatchServiceState& service,
                                       const RequestDescription& description) const;
  // Whether the caller may use all configured targets, leaving ones included.
  static bool MayUseAllTargets(const DispatchServiceState& service,
                               const RequestDescription& description);
  // Those of the allowed targets that may receive the request now: they do not hold this host off
  // and have not refused the request, if it is non-idempotent.
  std::vector<TargetId> UsableTargets(TimePoint now,
                                      const DispatchServiceState& service,
                                      const RequestState& state) const;
  // Whether there is any of those.
  bool HasUsableTarget(TimePoint now,
                       const DispatchServiceState& service,
                       const RequestState& state) const;
  // The first time at which an allowed target stops holding this host off; empty if no target
  // that has not refused the request does.
  std::optional<TimePoint> FirstHoldOffEnd(TimePoint now,
                                           const DispatchServiceState& service,
                                           const RequestState& state) const;
  bool IsForbidden(TimePoint now, const RequestState& state, TargetId target) const;
  // A free target for an optimistic start according to the broker's last view;
  // std::nullopt if a slot must be requested.
  std::optional<TargetId> ChooseOptimistic(TimePoint now,
                                           HostId broker,
                                           const DispatchServiceState& service,
                                           const RequestState& state);
  // Prefers targets without recent failures at this host.
  std::optional<TargetId> ChooseFallback(TimePoint now,
                                         DispatchServiceState& service,
                                         const RequestState& state);
  // Maximum number of outstanding attempts of this host in fallback.
  std::uint32_t FallbackLimit(const DispatchServiceState& service) const;
  // Chooses by the policy kRandom or kLeastOutstanding.
  std::optional<TargetId> ChooseBaseline(const DispatchServiceState& service,
                                         const RequestState& state);

 private:
  // Targets in service according to the last view. While they have fewer slots than the
  // service's floor, the minimum that must stay in use, ejected targets are added.
  std::vector<TargetView> TargetsInService(const DispatchServiceState& service) const;
  std::size_t ActiveHostCount(const DispatchServiceState& service) const;
  // A random healthy target, weighted by free slots; std::nullopt if no healthy
  // target has a free slot.
  std::optional<TargetId> ChooseRandomFree(const std::vector<TargetView>& reachable);
  // The target with the fewest outstanding attempts of this host; ties are
  // broken at random.
  std::optional<TargetId> ChooseLeastOutstanding(const DispatchServiceState& service,
                                                 const std::vector<TargetId>& targets);

  const DispatchSettings& settings;
  RandomSource& random;
  std::size_t host_count = 0;
};

}  // namespace pimentopin

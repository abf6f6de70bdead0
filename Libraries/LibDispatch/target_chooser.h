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

// Chooses targets where no broker grants one: optimistic starts, fallback and
// the baselines. Keeps no state of its own about requests.
class TargetChooser {
 public:
  // Both must outlive the chooser.
  TargetChooser(const DispatchSettings& dispatch_settings, RandomSource& random_source);

  // Hosts that share the targets, for the fallback's share of slots.
  void SetHostCount(std::size_t count) { this->host_count = count; }

  // Targets that the caller may use and that are not leaving.
  std::vector<TargetId> Allowed(const DispatchServiceState& service,
                                const RequestDescription& description) const;
  // A free target to start on at once, by the broker's last view.
  std::optional<TargetId> Optimistic(TimePoint now,
                                     HostId broker,
                                     const DispatchServiceState& service,
                                     const RequestState& state);
  std::optional<TargetId> Fallback(const DispatchServiceState& service, const RequestState& state);
  // Attempts that this host may have outstanding in fallback.
  std::uint32_t FallbackCap(const DispatchServiceState& service) const;
  // By policy kRandom or kLeastOutstanding.
  std::optional<TargetId> Baseline(const DispatchServiceState& service, const RequestState& state);

 private:
  // Targets in service as of the last view, with the floor applied.
  std::vector<TargetView> InService(const DispatchServiceState& service) const;
  std::size_t HostsSharing(const DispatchServiceState& service) const;
  // A healthy target with free slots, at random in proportion to them.
  std::optional<TargetId> RandomFree(const std::vector<TargetView>& eligible);
  // Target with the least outstanding attempts of this host, ties at random.
  std::optional<TargetId> LeastOutstanding(const DispatchServiceState& service,
                                           const std::vector<TargetId>& targets);

  const DispatchSettings& settings;
  RandomSource& random;
  std::size_t host_count = 0;
};

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin {

// Last view of a service at a host, and the attempts that the host has started
// since.
class ViewState {
 public:
  // Older views are not used for optimistic starts.
  static constexpr Duration kMaxViewAge = std::chrono::milliseconds(250);
  // After this time without a view, a lower sequence is accepted from the same
  // broker: it may have restarted on another machine, whose clock is behind.
  static constexpr Duration kSequenceResetAge = std::chrono::seconds(2);

  // Ignores older views of the same broker. Ignores those of a broker that is
  // not preferred while the last view is younger than kMaxViewAge.
  void Accept(TimePoint now, HostId sender, bool sender_is_preferred, const ServiceView& view);
  void RecordStart(TargetId target);

  const std::optional<ServiceView>& view() const { return this->last_view; }
  bool IsFreshFrom(TimePoint now, HostId broker) const;

  // Targets that may receive work: those of the view, or of the configuration
  // if there is none, without leaving ones. The least severe ejected targets
  // are added until the floor is met. Free slots are reduced by this host's
  // starts.
  std::vector<TargetView> TargetsInService(const DispatchService& configuration,
                                           const std::function<bool(TargetId)>& is_leaving) const;

 private:
  std::optional<ServiceView> last_view;
  HostId sender{};
  TimePoint received_at;
  std::map<TargetId, std::uint32_t> starts_since_view;
};

}  // namespace pimentopin

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

// Last view of a service at a host, with what the host started since.
class ViewState {
 public:
  // Views older than this are not used for optimistic starts.
  static constexpr Duration kFreshness = std::chrono::milliseconds(250);
  // A lower sequence is accepted from a broker after this time without a view;
  // it has restarted on another machine.
  static constexpr Duration kSequenceMemory = std::chrono::seconds(2);

  // Ignores older views of the same broker, and those of another broker while
  // the known one is fresh and preferred.
  void Accept(TimePoint now, HostId sender, bool sender_is_preferred, const ServiceView& view);
  void RecordStart(TargetId target);

  const std::optional<ServiceView>& view() const { return this->last; }
  bool IsFreshFrom(TimePoint now, HostId broker) const;

  // Targets that may receive work: those of the view (of the configuration if
  // there is none), less leaving ones, with the least bad ejected ones added
  // until the floor is met. Free slots are reduced by the host's own starts.
  std::vector<TargetView> InService(const DispatchService& configuration,
                                    const std::function<bool(TargetId)>& is_leaving) const;

 private:
  std::optional<ServiceView> last;
  HostId sender{};
  TimePoint received_at;
  std::map<TargetId, std::uint32_t> started;
};

}  // namespace pimentopin

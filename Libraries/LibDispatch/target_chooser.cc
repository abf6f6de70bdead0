#include "Libraries/LibDispatch/target_chooser.h"

#include <algorithm>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibDispatch/affinity.h"
#include "Libraries/LibDispatch/view_budget.h"

namespace pimentopin {
namespace {

// Optimistic starts use only healthy targets, so a target on probation would receive no
// requests to test it. While one is on probation, one in this many requests is therefore
// sent to the broker, which also grants slots of targets on probation.
constexpr std::uint64_t kProbationSampleInterval = 10;

// Finds targets in a list that normally has the order of the searches, so that all searches
// together visit each entry once.
class OrderedSearch {
 public:
  explicit OrderedSearch(const std::vector<TargetId>& searched) : list(searched) {}

  bool Finds(TargetId target) {
    const auto begin = this->list.begin();
    const auto start = begin + static_cast<std::ptrdiff_t>(this->next);
    auto found = std::find(start, this->list.end(), target);
    if (found == this->list.end()) {
      found = std::find(begin, start, target);
      if (found == start) {
        return false;
      }
    }
    this->next = static_cast<std::size_t>(found - begin) + 1;
    return true;
  }

 private:
  const std::vector<TargetId>& list;
  std::size_t next = 0;
};

std::optional<TargetId> AffinityTarget(std::uint64_t key, const std::vector<TargetId>& targets) {
  const auto best =
      std::max_element(targets.begin(), targets.end(), [key](TargetId left, TargetId right) {
        return AffinityScore(key, left) < AffinityScore(key, right);
      });
  return best == targets.end() ? std::nullopt : std::optional(*best);
}

// Target of the affinity key, if it is healthy and has a free slot.
std::optional<TargetId> FreeAffinityTarget(std::uint64_t key,
                                           const std::vector<TargetView>& reachable) {
  std::vector<TargetId> targets;
  std::vector<TargetId> free;
  for (const TargetView& target : reachable) {
    targets.push_back(target.target);
    if (target.state == TargetState::kHealthy && target.free_slots > 0) {
      free.push_back(target.target);
    }
  }
  const std::optional<TargetId> preferred = AffinityTarget(key, targets);
  return preferred && Contains(free, *preferred) ? preferred : std::nullopt;
}

// Removes targets that failed the request, unless no other target is left.
std::vector<TargetId> PreferUntried(const std::vector<TargetId>& targets,
                                    const std::vector<TargetId>& excluded) {
  std::vector<TargetId> untried;
  for (const TargetId target : targets) {
    if (!Contains(excluded, target)) {
      untried.push_back(target);
    }
  }
  return untried.empty() ? targets : untried;
}

}  // namespace

TargetChooser::TargetChooser(const DispatchSettings& dispatch_settings, RandomSource& random_source)
    : settings(dispatch_settings), random(random_source) {}

std::vector<TargetView> TargetChooser::TargetsInService(const DispatchServiceState& service) const {
  return service.view.TargetsInService(
      service.configuration, [this](TargetId target) { return this->settings.IsLeaving(target); });
}

std::vector<TargetId> TargetChooser::AllowedTargets(const DispatchServiceState& service,
                                                    const RequestDescription& description) const {
  std::vector<TargetId> allowed;
  OrderedSearch search(description.allowed);
  for (const DispatchService::Target& target : service.configuration.targets) {
    if (search.Finds(target.target) && !this->settings.IsLeaving(target.target)) {
      allowed.push_back(target.target);
    }
  }
  return allowed;
}

bool TargetChooser::MayUseAllTargets(const DispatchServiceState& service,
                                     const RequestDescription& description) {
  OrderedSearch search(description.allowed);
  return std::all_of(
      service.configuration.targets.begin(), service.configuration.targets.end(),
      [&](const DispatchService::Target& target) { return search.Finds(target.target); });
}

bool TargetChooser::IsForbidden(TimePoint now, const RequestState& state, TargetId target) const {
  return Contains(state.refused_by, target) || this->settings.HoldOffEnd(now, target).has_value();
}

std::vector<TargetId> TargetChooser::UsableTargets(TimePoint now,
                                                   const DispatchServiceState& service,
                                                   const RequestState& state) const {
  std::vector<TargetId> usable = this->AllowedTargets(service, state.description);
  std::erase_if(usable, [&](TargetId target) { return this->IsForbidden(now, state, target); });
  return usable;
}

bool TargetChooser::HasUsableTarget(TimePoint now,
                                    const DispatchServiceState& service,
                                    const RequestState& state) const {
  OrderedSearch search(state.description.allowed);
  return std::any_of(service.configuration.targets.begin(), service.configuration.targets.end(),
                     [&](const DispatchService::Target& target) {
                       return search.Finds(target.target) &&
                              !this->settings.IsLeaving(target.target) &&
                              !this->IsForbidden(now, state, target.target);
                     });
}

std::optional<TimePoint> TargetChooser::FirstHoldOffEnd(TimePoint now,
                                                        const DispatchServiceState& service,
                                                        const RequestState& state) const {
  std::optional<TimePoint> first;
  for (const TargetId target : this->AllowedTargets(service, state.description)) {
    const std::optional<TimePoint> end = this->settings.HoldOffEnd(now, target);
    if (end && !Contains(state.refused_by, target)) {
      first = std::min(first.value_or(*end), *end);
    }
  }
  return first;
}

std::optional<TargetId> TargetChooser::ChooseOptimistic(TimePoint now,
                                                        HostId broker,
                                                        const DispatchServiceState& service,
                                                        const RequestState& state) {
  const RequestDescription& description = state.description;
  // Long work always needs a grant, as only the broker knows how many slots it
  // holds.
  if (!this->settings.optimistic_starts || !service.configuration.optimistic_starts ||
      description.work_class == WorkClass::kLong ||
      this->settings.IsSuspect(description.fingerprint) || !service.view.IsFreshFrom(now, broker) ||
      !AllowsOptimisticStarts(service.view.view()->targets.size()) ||
      service.view.view()->queued > 0 || service.waiting_at_broker > 0 ||
      service.local_queue.size() > 0) {
    return std::nullopt;
  }
  const std::vector<TargetId> allowed = this->UsableTargets(now, service, state);
  std::uint32_t usable = 0;
  std::uint32_t free = 0;
  bool any_on_probation = false;
  // Includes targets on probation, which are not chosen below.
  std::vector<TargetView> reachable;
  for (const TargetView& target : this->TargetsInService(service)) {
    usable += target.usable_slots;
    free += target.free_slots;
    if (Contains(allowed, target.target) &&
        !Contains(target.unreachable_from, this->settings.domain)) {
      reachable.push_back(target);
      any_on_probation = any_on_probation || target.state == TargetState::kProbation;
    }
  }
  // The fewer slots are free, the more often hosts that decide on the same view choose the same
  // slot. With less than a third free, the broker assigns them.
  if (free * 3 < usable ||
      (any_on_probation && this->random.Below(kProbationSampleInterval) == 0)) {
    return std::nullopt;
  }
  return description.affinity_key != 0 ? FreeAffinityTarget(description.affinity_key, reachable)
                                       : this->ChooseRandomFree(reachable);
}

std::optional<TargetId> TargetChooser::ChooseRandomFree(const std::vector<TargetView>& reachable) {
  // The broker sends views at least 20 ms apart, and until the next one all hosts decide
  // on the same view. If they all chose the target with the most free slots, requests
  // would queue there while others are idle.
  std::uint64_t free = 0;
  for (const TargetView& target : reachable) {
    free += target.state == TargetState::kHealthy ? target.free_slots : 0;
  }
  if (free == 0) {
    return std::nullopt;
  }
  std::uint64_t draw = this->random.Below(free);
  for (const TargetView& target : reachable) {
    if (target.state != TargetState::kHealthy) {
      continue;
    }
    if (draw < target.free_slots) {
      return target.target;
    }
    draw -= target.free_slots;
  }
  return std::nullopt;
}

std::optional<TargetId> TargetChooser::ChooseLeastOutstanding(
    const DispatchServiceState& service,
    const std::vector<TargetId>& targets) {
  std::vector<TargetId> best;
  std::uint32_t least = 0;
  for (const TargetId target : targets) {
    const auto count = service.outstanding.find(target);
    const std::uint32_t outstanding = count == service.outstanding.end() ? 0 : count->second;
    if (best.empty() || outstanding < least) {
      best.clear();
      least = outstanding;
    }
    if (outstanding == least) {
      best.push_back(target);
    }
  }
  return best.empty() ? std::nullopt : std::optional(best[this->random.Below(best.size())]);
}

std::uint32_t TargetChooser::FallbackLimit(const DispatchServiceState& service) const {
  std::uint32_t usable = 0;
  for (const TargetView& target : this->TargetsInService(service)) {
    usable += target.usable_slots;
  }
  const auto hosts = static_cast<std::uint32_t>(this->ActiveHostCount(service));
  return std::max<std::uint32_t>(1, usable / hosts);
}

std::optional<TargetId> TargetChooser::ChooseFallback(TimePoint now,
                                                      DispatchServiceState& service,
                                                      const RequestState& state) {
  const std::vector<TargetId> allowed = this->UsableTargets(now, service, state);
  std::vector<TargetId> usable;
  for (const TargetView& target : this->TargetsInService(service)) {
    if (target.usable_slots > 0 && Contains(allowed, target.target) &&
        !Contains(target.unreachable_from, this->settings.domain) &&
        service.rate_limits.MaySend(now, target.target, this->ActiveHostCount(service))) {
      usable.push_back(target.target);
    }
  }
  usable = PreferUntried(usable, state.excluded);
  if (usable.empty()) {
    return std::nullopt;
  }
  const SlotRequest request{.is_retry = state.reached_target(),
                            .excluded = state.excluded,
                            .idempotent = state.description.idempotent};
  std::vector<TargetId> unreliable;
  for (const TargetId target : usable) {
    if (service.own_results.IsUnreliable(now, request, target)) {
      unreliable.push_back(target);
    }
  }
  usable = PreferUntried(usable, unreliable);
  // Each host uses its highest ranked targets by rendezvous hashing. Their number is the
  // sum of the targets' connection limits divided by the number of active hosts, at least
  // one, so that a large fleet does not connect every host to every target and exceed the
  // limits.
  std::uint32_t connections = 0;
  for (const DispatchService::Target& target : service.configuration.targets) {
    connections += Contains(usable, target.target) ? target.connections : 0;
  }
  const std::size_t subset_size =
      std::clamp<std::size_t>(connections / this->ActiveHostCount(service), 1, usable.size());
  const std::uint64_t self = RawId(this->settings.self);
  std::sort(usable.begin(), usable.end(), [self](TargetId left, TargetId right) {
    return StableHash(self, RawId(left)) > StableHash(self, RawId(right));
  });
  usable.resize(subset_size);
  if (state.description.affinity_key != 0) {
    return AffinityTarget(state.description.affinity_key, usable);
  }
  return this->ChooseLeastOutstanding(service, usable);
}

std::size_t TargetChooser::ActiveHostCount(const DispatchServiceState& service) const {
  const std::optional<ServiceView>& view = service.view.view();
  return std::max<std::size_t>(1, view ? view->active_hosts : this->host_count);
}

std::optional<TargetId> TargetChooser::ChooseBaseline(const DispatchServiceState& service,
                                                      const RequestState& state) {
  const std::vector<TargetId> targets =
      PreferUntried(this->AllowedTargets(service, state.description), state.excluded);
  if (targets.empty()) {
    return std::nullopt;
  }
  return this->settings.policy == DispatchPolicy::kRandom
             ? std::optional(targets[this->random.Below(targets.size())])
             : this->ChooseLeastOutstanding(service, targets);
}

}  // namespace pimentopin

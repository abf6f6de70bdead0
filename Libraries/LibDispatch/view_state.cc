#include "Libraries/LibDispatch/view_state.h"

#include <algorithm>

namespace pimentopin {
namespace {

std::vector<TargetView> TargetsWithoutView(const DispatchService& configuration) {
  std::vector<TargetView> targets;
  for (const DispatchService::Target& target : configuration.targets) {
    const auto slots = static_cast<std::uint16_t>(target.slots);
    targets.push_back({.target = target.target, .usable_slots = slots, .free_slots = slots});
  }
  return targets;
}

std::uint32_t ConfiguredSlots(const DispatchService& configuration, TargetId target) {
  for (const DispatchService::Target& item : configuration.targets) {
    if (item.target == target) {
      return item.slots;
    }
  }
  return 0;
}

}  // namespace

void ViewState::Accept(TimePoint now,
                       HostId view_sender,
                       bool sender_is_preferred,
                       const ServiceView& view) {
  if (this->last_view) {
    const Duration age = now - this->received_at;
    const bool same_sender = view_sender == this->sender;
    if (same_sender && view.sequence <= this->last_view->sequence && age < kSequenceResetAge) {
      return;
    }
    if (!same_sender && !sender_is_preferred && age < kMaxViewAge) {
      return;
    }
  }
  this->last_view = view;
  this->sender = view_sender;
  this->received_at = now;
  this->starts_since_view.clear();
}

void ViewState::RecordStart(TargetId target) {
  ++this->starts_since_view[target];
}

bool ViewState::IsFreshFrom(TimePoint now, HostId broker) const {
  return this->last_view && this->sender == broker && now - this->received_at < kMaxViewAge;
}

std::vector<TargetView> ViewState::TargetsInService(
    const DispatchService& configuration,
    const std::function<bool(TargetId)>& is_leaving) const {
  std::vector<TargetView> in_service;
  std::vector<TargetView> ejected;
  std::uint32_t slots = 0;
  for (TargetView target :
       this->last_view ? this->last_view->targets : TargetsWithoutView(configuration)) {
    const std::uint32_t configured = ConfiguredSlots(configuration, target.target);
    if (configured == 0 || target.state == TargetState::kLeaving || is_leaving(target.target)) {
      continue;
    }
    if (target.state == TargetState::kEjected) {
      ejected.push_back(target);
      continue;
    }
    slots += configured;
    const auto starts = this->starts_since_view.find(target.target);
    const std::uint32_t own_starts = starts == this->starts_since_view.end() ? 0 : starts->second;
    target.free_slots -=
        static_cast<std::uint16_t>(std::min<std::uint32_t>(target.free_slots, own_starts));
    in_service.push_back(target);
  }
  // The view carries no severity. Targets reachable from more failure domains
  // come first, then the broker's order applies.
  std::stable_sort(ejected.begin(), ejected.end(),
                   [](const TargetView& left, const TargetView& right) {
                     return left.unreachable_from.size() < right.unreachable_from.size();
                   });
  for (TargetView& target : ejected) {
    if (slots >= configuration.floor_slots) {
      break;
    }
    const std::uint32_t configured = ConfiguredSlots(configuration, target.target);
    target.state = TargetState::kHealthy;
    target.usable_slots = static_cast<std::uint16_t>(configured);
    target.free_slots = target.usable_slots;
    slots += configured;
    in_service.push_back(target);
  }
  return in_service;
}

}  // namespace pimentopin

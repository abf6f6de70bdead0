#include "Libraries/LibHealth/ejection_policy.h"

#include <algorithm>
#include <optional>

namespace pimentopin {
namespace {

using Candidates = std::vector<EjectionCandidate>;

std::uint64_t UsableSlots(const Candidates& candidates) {
  std::uint64_t total = 0;
  for (const EjectionCandidate& candidate : candidates) {
    total += candidate.usable_slots;
  }
  return total;
}

template <typename Predicate>
std::optional<std::size_t> LeastSevere(const Candidates& candidates, Predicate eligible) {
  std::optional<std::size_t> least_severe;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (eligible(candidates[index]) &&
        (!least_severe || candidates[index].severity < candidates[*least_severe].severity)) {
      least_severe = index;
    }
  }
  return least_severe;
}

void Reinstate(Candidates& candidates,
               std::size_t index,
               std::vector<EjectionDecision>& decisions) {
  candidates[index].ejected = false;
  candidates[index].suspect = false;
  candidates[index].usable_slots = candidates[index].slots;
  decisions.push_back({index, EjectionChange::kReinstate});
}

void Eject(Candidates& candidates, std::size_t index, std::vector<EjectionDecision>& decisions) {
  candidates[index].ejected = true;
  candidates[index].usable_slots = 0;
  decisions.push_back({index, EjectionChange::kEject});
}

}  // namespace

// At least one slot is kept even with a floor of zero, since a service without any
// target would refuse all requests.
EjectionPolicy::EjectionPolicy(std::uint32_t floor)
    : floor_slots(std::max<std::uint32_t>(1, floor)) {}

std::vector<EjectionDecision> EjectionPolicy::Decide(Candidates candidates) const {
  std::vector<EjectionDecision> decisions;
  while (UsableSlots(candidates) < this->floor_slots) {
    const auto index = LeastSevere(candidates, [](const EjectionCandidate& candidate) {
      return candidate.usable_slots < candidate.slots;
    });
    if (!index) {
      return decisions;
    }
    Reinstate(candidates, *index, decisions);
  }

  std::vector<std::size_t> suspects;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (!candidates[index].ejected && candidates[index].suspect) {
      suspects.push_back(index);
    }
  }
  std::stable_sort(suspects.begin(), suspects.end(), [&](std::size_t left, std::size_t right) {
    return candidates[left].severity > candidates[right].severity;
  });
  for (const std::size_t index : suspects) {
    const EjectionCandidate suspect = candidates[index];
    const std::uint64_t remaining_slots = UsableSlots(candidates) - suspect.usable_slots;
    if (remaining_slots >= this->floor_slots) {
      Eject(candidates, index, decisions);
      continue;
    }
    // A less severe target that is ejected, on probation or in ramp-up has slots to spare.
    const auto substitute = LeastSevere(candidates, [&](const EjectionCandidate& candidate) {
      return candidate.usable_slots < candidate.slots &&
             candidate.severity + kSwapSeverityMargin < suspect.severity &&
             remaining_slots - candidate.usable_slots + candidate.slots >= this->floor_slots;
    });
    if (substitute) {
      Reinstate(candidates, *substitute, decisions);
      Eject(candidates, index, decisions);
    }
  }
  return decisions;
}

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pimentopin {

// A target as the ejection policy sees it; leaving targets are not passed in.
struct EjectionCandidate {
  std::uint32_t slots = 1;
  // Zero while ejected; fewer than `slots` in probation.
  std::uint32_t usable_slots = 1;
  bool ejected = false;
  bool suspect = false;
  double severity = 0.0;

  friend bool operator==(const EjectionCandidate&, const EjectionCandidate&) = default;
};

enum class EjectionChange { kEject, kReinstate };

struct EjectionDecision {
  // Position in the list of candidates.
  std::size_t index = 0;
  EjectionChange change = EjectionChange::kEject;

  friend bool operator==(const EjectionDecision&, const EjectionDecision&) = default;
};

// Chooses whom to eject and whom to reinstate so that the usable slots stay at
// or above the floor and the least severe targets stay in service.
class EjectionPolicy {
 public:
  // A target in service replaces an ejected one only if it is worse by this.
  static constexpr double kSwapMargin = 0.5;

  explicit EjectionPolicy(std::uint32_t floor);

  std::vector<EjectionDecision> Decide(std::vector<EjectionCandidate> candidates) const;

 private:
  std::uint64_t floor_slots;
};

}  // namespace pimentopin

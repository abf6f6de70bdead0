#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pimentopin {

// State of a target as input to the policy. Leaving targets are not candidates.
struct EjectionCandidate {
  std::uint32_t slots = 1;
  // Zero while ejected, less than `slots` during probation and ramp-up.
  std::uint32_t usable_slots = 1;
  bool ejected = false;
  bool suspect = false;
  double severity = 0.0;

  friend bool operator==(const EjectionCandidate&, const EjectionCandidate&) = default;
};

enum class EjectionChange { kEject, kReinstate };

struct EjectionDecision {
  // Index in the list of candidates.
  std::size_t index = 0;
  EjectionChange change = EjectionChange::kEject;

  friend bool operator==(const EjectionDecision&, const EjectionDecision&) = default;
};

// Selects the targets to eject and to reinstate so that the usable slots stay at or
// above the floor and the least severe targets stay in service.
class EjectionPolicy {
 public:
  // At the floor, an ejected target replaces a suspect one only if its severity is
  // lower by more than this margin.
  static constexpr double kSwapSeverityMargin = 0.5;

  explicit EjectionPolicy(std::uint32_t floor);

  std::vector<EjectionDecision> Decide(std::vector<EjectionCandidate> candidates) const;

 private:
  std::uint64_t floor_slots;
};

}  // namespace pimentopin

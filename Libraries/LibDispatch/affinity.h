#pragma once

#include <cstdint>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

// Rendezvous hashing score of a target for an affinity key; the allowed target
// with the highest score is preferred. Hosts and brokers use the same function,
// so that they prefer the same target.
inline std::uint64_t AffinityScore(std::uint64_t key, TargetId target) {
  return StableHash(key, RawId(target));
}

}  // namespace pimentopin

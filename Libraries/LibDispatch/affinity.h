#pragma once

#include <cstdint>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

// The allowed target with the highest score is preferred for an affinity key.
// Hosts and brokers share this function, so that they prefer the same target.
inline std::uint64_t AffinityScore(std::uint64_t key, TargetId target) {
  return StableHash(key, RawId(target));
}

}  // namespace pimentopin

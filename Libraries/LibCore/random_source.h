#pragma once

#include <cstdint>
#include <random>

namespace pimentopin {

// Seeded random number generator, passed to the decision code so that runs with
// the same seed are reproducible.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  std::uint64_t Next() { return this->engine(); }

  // Uniformly distributed in [0, bound); `bound` must be greater than zero.
  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(this->engine);
  }

  // Uniformly distributed in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); }

  std::mt19937_64& generator() { return this->engine; }

 private:
  std::mt19937_64 engine;
};

}  // namespace pimentopin

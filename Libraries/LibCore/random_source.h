#pragma once

#include <cstdint>
#include <random>

namespace pimentopin {

// Seeded generator handed to decision code; the same seed gives the same run.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  std::uint64_t Next() { return this->engine(); }

  // Uniform in [0, bound); bound must be above zero.
  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(this->engine);
  }

  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); }

  std::mt19937_64& generator() { return this->engine; }

 private:
  std::mt19937_64 engine;
};

}  // namespace pimentopin

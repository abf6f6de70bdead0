#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace pimentopin {

// Number of times that the platform's store has come back from an older copy of itself, as it
// counts them. 0 if it states none.
using StoreEra = std::uint64_t;

// Position in the history of the platform's store. The store gives out numbers again in a new era,
// so positions are ordered by era first.
struct StoreVersion {
  StoreVersion() = default;
  // Not explicit, as a number without an era is a position of era 0.
  // NOLINTNEXTLINE(google-explicit-constructor)
  StoreVersion(std::uint64_t version_number, StoreEra version_era = 0)
      : era(version_era), number(version_number) {}

  // Before the first position: the version of a row that does not exist.
  bool is_zero() const { return this->number == 0; }
  // For messages and log lines.
  std::string ToText() const {
    return std::to_string(this->era) + "." + std::to_string(this->number);
  }

  StoreEra era = 0;
  std::uint64_t number = 0;

  friend bool operator==(const StoreVersion&, const StoreVersion&) = default;
  friend std::strong_ordering operator<=>(const StoreVersion& left, const StoreVersion& right) {
    return std::tie(left.era, left.number) <=> std::tie(right.era, right.number);
  }
};

}  // namespace pimentopin

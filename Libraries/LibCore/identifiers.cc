#include "Libraries/LibCore/identifiers.h"

#include <xxhash.h>

#include <array>

namespace pimentopin {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t StableHash(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> words{first, second};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "Libraries/LibCore/store_version.h"

namespace pimentopin {

// Returns nothing if the text is not a whole number.
std::optional<StoreEra> ParseStoreEra(std::string_view text);

// Follows the eras that the store states in its responses to this host.
class StoreEraTracker {
 public:
  // What a response says about the store.
  enum class Change : std::uint8_t {
    kNone,
    // The store has come back from an older copy. Also the first response.
    kNewEra,
    // The response is of an era that has ended, so that nothing it says holds any more.
    kEarlierEra,
  };

  Change Observe(StoreEra stated);

  // The latest era; empty before the first response.
  std::optional<StoreEra> era() const { return this->latest; }

 private:
  std::optional<StoreEra> latest;
};

}  // namespace pimentopin

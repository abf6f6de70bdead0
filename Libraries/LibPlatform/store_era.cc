#include "Libraries/LibPlatform/store_era.h"

#include <charconv>

namespace pimentopin {

std::optional<StoreEra> ParseStoreEra(std::string_view text) {
  StoreEra era = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, era);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(era) : std::nullopt;
}

StoreEraTracker::Change StoreEraTracker::Observe(StoreEra stated) {
  if (this->latest == stated) {
    return Change::kNone;
  }
  if (this->latest && stated < *this->latest) {
    return Change::kEarlierEra;
  }
  this->latest = stated;
  return Change::kNewEra;
}

}  // namespace pimentopin

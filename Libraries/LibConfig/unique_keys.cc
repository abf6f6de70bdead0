#include "Libraries/LibConfig/unique_keys.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace pimentopin {

std::vector<ApiKeyDigest> UniqueKeys::ReadDigests(const ObjectReader& reader,
                                                  std::string_view field) {
  std::vector<ApiKeyDigest> digests;
  reader.ForEachElement(
      field, Presence::kOptional, [&](const nlohmann::json& value, const std::string& place) {
        const std::optional<ApiKeyDigest> digest =
            value.is_string() ? ApiKeyDigest::FromHex(value.get_ref<const std::string&>())
                              : std::nullopt;
        if (!digest) {
          this->report(place, "must be the SHA-256 of a key as 64 lower-case hexadecimal digits");
          return;
        }
        this->Add(*digest, place);
        digests.push_back(*digest);
      });
  return digests;
}

}  // namespace pimentopin

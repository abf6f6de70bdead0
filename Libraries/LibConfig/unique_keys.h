#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Libraries/LibConfig/api_key.h"
#include "Libraries/LibConfig/document_scanner.h"
#include "Libraries/LibConfig/object_reader.h"

namespace pimentopin {

// Reports keys that a document holds more than once, by their places alone.
class UniqueKeys {
 public:
  explicit UniqueKeys(const ErrorReporter& reporter) : report(reporter) {}

  void Add(const ApiKeyDigest& key, const std::string& place) {
    const auto [first_use, inserted] = this->places.emplace(key, place);
    if (!inserted) {
      this->report(place, "the key is already used at " + first_use->second);
    }
  }

  // Reads and adds the digests in an optional list of the object.
  std::vector<ApiKeyDigest> ReadDigests(const ObjectReader& reader, std::string_view field);

 private:
  const ErrorReporter& report;
  std::unordered_map<ApiKeyDigest, std::string> places;
};

}  // namespace pimentopin

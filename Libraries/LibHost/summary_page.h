#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// A stored summary as it is in the object store.
struct StoredSummary {
  std::string key;
  std::string content;

  friend bool operator==(const StoredSummary&, const StoredSummary&) = default;
};

// Part of a month's summaries, in the order of their keys.
struct SummaryPage {
  std::vector<StoredSummary> summaries;
  // Key after which the next page starts; empty on the last page.
  std::string next;

  friend bool operator==(const SummaryPage&, const SummaryPage&) = default;
};

// Reads the summaries whose keys follow `after`. No value with a reason if the
// object store fails on any of them, so that a report is never silently short.
void ReadSummaryPage(ObjectStore& objects,
                     const std::string& month,
                     const std::string& after,
                     std::function<void(std::optional<SummaryPage>, const Error&)> callback);

}  // namespace pimentopin

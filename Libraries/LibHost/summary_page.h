#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// A summary in the object store.
struct StoredSummary {
  std::string key;
  std::string content;

  friend bool operator==(const StoredSummary&, const StoredSummary&) = default;
};

// A page of a month's summaries, ordered by key.
struct SummaryPage {
  std::vector<StoredSummary> summaries;
  // The key to pass as `after` for the next page; empty on the last page.
  std::string next;

  friend bool operator==(const SummaryPage&, const SummaryPage&) = default;
};

// Reads the summaries whose keys follow `after`. Fails if the object store fails on any of
// them, so that a report never omits summaries silently.
void ReadSummaryPage(ObjectStore& objects,
                     const std::string& month,
                     const std::string& after,
                     std::function<void(std::optional<SummaryPage>, const Error&)> callback);

}  // namespace pimentopin

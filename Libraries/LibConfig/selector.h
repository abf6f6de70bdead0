#pragma once

#include <string>
#include <vector>

#include "Libraries/LibConfig/labels.h"

namespace pimentopin {

enum class SelectorOperator { kIn, kNotIn, kExists, kDoesNotExist };

struct SelectorRequirement {
  std::string key;
  SelectorOperator op = SelectorOperator::kExists;
  std::vector<std::string> values;

  friend bool operator==(const SelectorRequirement&, const SelectorRequirement&) = default;
};

// Set-based label selector. All labels and expressions must match; an empty
// selector matches everything. kNotIn and kDoesNotExist also match if the key is
// absent.
struct Selector {
  Labels match_labels;
  std::vector<SelectorRequirement> match_expressions;

  bool Matches(const Labels& labels) const;

  friend bool operator==(const Selector&, const Selector&) = default;
};

}  // namespace pimentopin

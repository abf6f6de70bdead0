#include "Libraries/LibConfig/selector.h"

#include <algorithm>

namespace pimentopin {
namespace {

bool MatchesRequirement(const SelectorRequirement& requirement, const Labels& labels) {
  const auto label = labels.find(requirement.key);
  const bool is_present = label != labels.end();
  const bool has_listed_value =
      is_present && std::find(requirement.values.begin(), requirement.values.end(),
                              label->second) != requirement.values.end();
  switch (requirement.op) {
    case SelectorOperator::kIn:
      return has_listed_value;
    case SelectorOperator::kNotIn:
      return !has_listed_value;
    case SelectorOperator::kExists:
      return is_present;
    case SelectorOperator::kDoesNotExist:
      return !is_present;
  }
  return false;
}

}  // namespace

bool Selector::Matches(const Labels& labels) const {
  const bool labels_match =
      std::all_of(this->match_labels.begin(), this->match_labels.end(), [&](const auto& required) {
        const auto label = labels.find(required.first);
        return label != labels.end() && label->second == required.second;
      });
  return labels_match && std::all_of(this->match_expressions.begin(), this->match_expressions.end(),
                                     [&](const SelectorRequirement& requirement) {
                                       return MatchesRequirement(requirement, labels);
                                     });
}

}  // namespace pimentopin

#include "Libraries/LibConfig/selector.h"

#include <algorithm>

namespace pimentopin {
namespace {

bool MatchesRequirement(const SelectorRequirement& requirement, const Labels& labels) {
  const auto label = labels.find(requirement.key);
  const bool present = label != labels.end();
  const bool listed = present && std::find(requirement.values.begin(), requirement.values.end(),
                                           label->second) != requirement.values.end();
  switch (requirement.op) {
    case SelectorOperator::kIn:
      return listed;
    case SelectorOperator::kNotIn:
      return !listed;
    case SelectorOperator::kExists:
      return present;
    case SelectorOperator::kDoesNotExist:
      return !present;
  }
  return false;
}

}  // namespace

bool Selector::Matches(const Labels& labels) const {
  const bool labels_match =
      std::all_of(this->match_labels.begin(), this->match_labels.end(), [&](const auto& wanted) {
        const auto label = labels.find(wanted.first);
        return label != labels.end() && label->second == wanted.second;
      });
  return labels_match && std::all_of(this->match_expressions.begin(), this->match_expressions.end(),
                                     [&](const SelectorRequirement& requirement) {
                                       return MatchesRequirement(requirement, labels);
                                     });
}

}  // namespace pimentopin

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibConfig/configuration.h"

namespace pimentopin {

enum class DifferenceKind {
  kOrganisation,
  kCaller,
  kService,
  kTarget,
  kAccessRule,
  kWorkRule,
  kRoute,
  kRequestLimits,
  kKeyUse,
};

// One change from one configuration to another.
struct DifferenceEntry {
  DifferenceKind kind = DifferenceKind::kOrganisation;
  // Name of the entry. Rules have no name: for them, the position in the list
  // after the change, or before it if the rule was removed.
  std::string name;
  // Name of the field in the document, or "labels/<key>"; empty if the whole
  // entry was added or removed.
  std::string field;
  // JSON text; absent on the side where the entry or field does not exist.
  std::optional<std::string> before;
  std::optional<std::string> after;

  friend bool operator==(const DifferenceEntry&, const DifferenceEntry&) = default;
};

using ConfigurationDifference = std::vector<DifferenceEntry>;

// Returns the changes from `before` to `after`, ordered by kind and name.
// Revisions are not compared. A changed label of an organisation is reported for
// the organisation only, not for its callers. Equal rules at the start and the
// end of a list are matched, so that inserting or removing a rule does not report
// the rules around it.
ConfigurationDifference CompareConfigurations(const Configuration& before,
                                              const Configuration& after);

// One line per entry; empty if there are no entries.
std::string DifferenceToText(const ConfigurationDifference& difference);

// JSON array of {"kind", "name", "field", "before", "after"}; an absent value is
// null.
std::string DifferenceToJson(const ConfigurationDifference& difference);
// Returns std::nullopt if the text is not such an array.
std::optional<ConfigurationDifference> DifferenceFromJson(std::string_view json);

}  // namespace pimentopin

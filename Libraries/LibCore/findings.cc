#include "Libraries/LibCore/findings.h"

namespace pimentopin {

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : this->entries) {
    text += finding.place + ": " + finding.message + "\n";
  }
  return text;
}

}  // namespace pimentopin

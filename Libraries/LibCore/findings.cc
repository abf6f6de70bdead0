#include "Libraries/LibCore/findings.h"

namespace pimentopin {
namespace {

std::string LinesOf(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place + ": " + finding.message + "\n";
  }
  return text;
}

}  // namespace

std::string Findings::ToText() const {
  return LinesOf(this->entries);
}

std::string Findings::NotesToText() const {
  return LinesOf(this->note_entries);
}

}  // namespace pimentopin

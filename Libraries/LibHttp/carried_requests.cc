#include "Libraries/LibHttp/carried_requests.h"

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

void CarriedRequests::Add(const std::optional<std::string>& id) {
  ++this->request_count;
  if (id) {
    this->id_hashes.push_back(StableHash(*id));
  }
}

bool CarriedRequests::MayCarry(const std::optional<std::string>& id) const {
  if (!id || this->request_count == 0) {
    return true;
  }
  // Peers may answer without an id even if the request has one.
  return !id->empty() && !Contains(this->id_hashes, StableHash(*id));
}

}  // namespace pimentopin

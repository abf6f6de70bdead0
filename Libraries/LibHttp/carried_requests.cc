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

bool CarriedRequests::Contains(std::string_view id) const {
  return pimentopin::Contains(this->id_hashes, StableHash(id));
}

}  // namespace pimentopin

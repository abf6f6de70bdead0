#pragma once

#include <algorithm>
#include <vector>

namespace pimentopin {

template <typename Id>
bool Contains(const std::vector<Id>& ids, Id id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace pimentopin

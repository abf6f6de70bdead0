#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentopin {

// The requests that a connection has carried, by the ids that the peer repeats in its responses. An
// empty optional stands for a request whose response names no id.
class CarriedRequests {
 public:
  void Add(const std::optional<std::string>& id);
  // False if a late response to an earlier request could be taken for that to a request with this
  // id. May be false for other ids, too.
  bool MayCarry(const std::optional<std::string>& id) const;
  std::size_t count() const { return this->request_count; }

 private:
  std::vector<std::uint64_t> id_hashes;
  std::size_t request_count = 0;
};

}  // namespace pimentopin

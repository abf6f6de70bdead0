#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopin {

// The requests that a connection has carried, by the ids that the peer repeats in its responses.
class CarriedRequests {
 public:
  // An empty optional stands for a request whose response names no id.
  void Add(const std::optional<std::string>& id);
  // May return true for an id that was not added, but never false for one that was.
  bool Contains(std::string_view id) const;
  std::size_t count() const { return this->request_count; }

 private:
  std::vector<std::uint64_t> id_hashes;
  std::size_t request_count = 0;
};

}  // namespace pimentopin

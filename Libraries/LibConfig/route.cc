#include "Libraries/LibConfig/route.h"

namespace pimentopin {

const std::string& Route::SelectService(std::uint64_t hash) const {
  std::uint64_t total_weight = 0;
  for (const WeightedService& weighted_service : this->services) {
    total_weight += weighted_service.weight;
  }
  if (total_weight == 0) {
    return this->services.front().service;
  }
  std::uint64_t offset = hash % total_weight;
  for (const WeightedService& weighted_service : this->services) {
    if (offset < weighted_service.weight) {
      return weighted_service.service;
    }
    offset -= weighted_service.weight;
  }
  return this->services.back().service;
}

std::string_view HostWithoutPort(std::string_view host_header) {
  const std::size_t colon = host_header.rfind(':');
  // The colons inside a bracketed IPv6 address do not separate a port.
  if (colon == std::string_view::npos || host_header.find(']', colon) != std::string_view::npos) {
    return host_header;
  }
  return host_header.substr(0, colon);
}

}  // namespace pimentopin

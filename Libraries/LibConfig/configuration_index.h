#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Libraries/LibConfig/api_key.h"
#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {

struct Configuration;

// Maps ids to positions in the lists of one configuration. Unlike pointers,
// positions stay valid when the configuration is copied or moved.
struct ConfigurationIndex {
  std::unordered_map<CallerId, std::size_t> callers_by_id;
  std::unordered_map<ServiceId, std::size_t> services_by_id;
  std::unordered_map<TargetId, std::size_t> targets_by_id;
  std::unordered_map<OrganisationId, std::size_t> organisations_by_id;
  std::unordered_map<ApiKeyDigest, std::size_t> organisations_by_key;
  std::unordered_map<OrganisationId, std::size_t> first_caller_by_organisation;
  // Targets of each service and rules that list the service, in document order.
  std::unordered_map<ServiceId, std::vector<std::size_t>> targets_by_service;
  std::unordered_map<ServiceId, std::vector<std::size_t>> access_rules_by_service;
  std::unordered_map<ServiceId, std::vector<std::size_t>> work_rules_by_service;
  // Routes by the StableHash of their host name, in document order.
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> routes_by_host_hash;
  // Rules that apply to every service, in document order.
  std::vector<std::size_t> access_rules_for_all_services;
  std::vector<std::size_t> work_rules_for_all_services;

  static std::shared_ptr<const ConfigurationIndex> Build(const Configuration& configuration);
};

// Holds the index of a configuration. The index is derived from the other
// members, so it always compares equal.
struct ConfigurationIndexPointer {
  std::shared_ptr<const ConfigurationIndex> pointer;

  friend bool operator==(const ConfigurationIndexPointer&, const ConfigurationIndexPointer&) {
    return true;
  }
};

}  // namespace pimentopin

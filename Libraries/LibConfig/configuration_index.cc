#include "Libraries/LibConfig/configuration_index.h"

#include "Libraries/LibConfig/configuration.h"

namespace pimentopin {
namespace {

template <typename Rule>
void IndexRules(const std::vector<Rule>& rules,
                std::unordered_map<ServiceId, std::vector<std::size_t>>& by_service,
                std::vector<std::size_t>& for_all_services) {
  for (std::size_t position = 0; position < rules.size(); ++position) {
    if (rules[position].services.empty()) {
      for_all_services.push_back(position);
    }
    for (const std::string& service : rules[position].services) {
      std::vector<std::size_t>& positions = by_service[IdFromName<ServiceId>(service)];
      if (positions.empty() || positions.back() != position) {
        positions.push_back(position);
      }
    }
  }
}

template <typename Id, typename Entry>
void IndexEntries(const std::vector<Entry>& entries, std::unordered_map<Id, std::size_t>& by_id) {
  by_id.reserve(entries.size());
  for (std::size_t position = 0; position < entries.size(); ++position) {
    by_id.emplace(entries[position].id(), position);
  }
}

}  // namespace

std::shared_ptr<const ConfigurationIndex> ConfigurationIndex::Build(
    const Configuration& configuration) {
  auto index = std::make_shared<ConfigurationIndex>();
  IndexEntries(configuration.organisations, index->organisations_by_id);
  IndexEntries(configuration.callers, index->callers_by_id);
  IndexEntries(configuration.services, index->services_by_id);
  IndexEntries(configuration.targets, index->targets_by_id);
  for (std::size_t position = 0; position < configuration.organisations.size(); ++position) {
    for (const ApiKeyDigest& key : configuration.organisations[position].keys) {
      index->organisations_by_key.emplace(key, position);
    }
  }
  for (std::size_t position = 0; position < configuration.callers.size(); ++position) {
    index->first_caller_by_organisation.emplace(
        IdFromName<OrganisationId>(configuration.callers[position].organisation), position);
  }
  for (std::size_t position = 0; position < configuration.targets.size(); ++position) {
    index->targets_by_service[configuration.targets[position].service_id()].push_back(position);
  }
  for (std::size_t position = 0; position < configuration.routes.size(); ++position) {
    index->routes_by_host_hash[StableHash(configuration.routes[position].host)].push_back(position);
  }
  IndexRules(configuration.access, index->access_rules_by_service,
             index->access_rules_for_all_services);
  IndexRules(configuration.work, index->work_rules_by_service, index->work_rules_for_all_services);
  return index;
}

}  // namespace pimentopin

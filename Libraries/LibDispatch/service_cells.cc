#include "Libraries/LibDispatch/service_cells.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

// Share of the threshold below which a divided service becomes whole again.
constexpr std::size_t kKeepPercent = 80;

std::map<DomainId, std::size_t> TargetsByDomain(const DispatchService& service) {
  std::map<DomainId, std::size_t> counts;
  for (const DispatchService::Target& target : service.targets) {
    ++counts[target.domain];
  }
  return counts;
}

std::uint64_t SlotsOf(const DispatchService& service, std::optional<DomainId> domain) {
  std::uint64_t slots = 0;
  for (const DispatchService::Target& target : service.targets) {
    slots += !domain || target.domain == *domain ? target.slots : 0;
  }
  return slots;
}

}  // namespace

ServiceId CellId(ServiceId service, DomainId domain) {
  return ServiceId{StableHash(RawId(service), RawId(domain))};
}

std::vector<ServiceCell> CellsByDomain(const DispatchService& service) {
  const std::uint64_t all_slots = std::max<std::uint64_t>(SlotsOf(service, std::nullopt), 1);
  std::vector<ServiceCell> cells;
  for (const auto& [domain, count] : TargetsByDomain(service)) {
    const std::uint64_t slots = SlotsOf(service, domain);
    // Rounded up, so that the cells together keep the floor of the service.
    const std::uint64_t floor_slots = (service.floor_slots * slots + all_slots - 1) / all_slots;
    cells.push_back({.id = CellId(service.service, domain),
                     .domain = domain,
                     .floor_slots = static_cast<std::uint32_t>(floor_slots)});
  }
  return cells;
}

DispatchService CellAsService(const DispatchService& service, const ServiceCell& cell) {
  // Grants within a failure domain are fast, and the broker knows more than its views tell.
  DispatchService result{
      .service = cell.id, .floor_slots = cell.floor_slots, .optimistic_starts = false};
  for (const DispatchService::Target& target : service.targets) {
    if (target.domain == cell.domain) {
      result.targets.push_back(target);
    }
  }
  return result;
}

RetryLimits ShareOf(const RetryLimits& limits, std::size_t cell_count) {
  RetryLimits share = limits;
  share.extra /= static_cast<double>(cell_count);
  share.minimum_per_second /= static_cast<std::uint32_t>(cell_count);
  return share;
}

bool ServiceDivision::MustDivide(const DispatchService& service) const {
  const std::map<DomainId, std::size_t> counts = TargetsByDomain(service);
  if (this->threshold == 0 || counts.size() < 2) {
    return false;
  }
  if (this->divided.contains(service.service)) {
    return service.targets.size() * 100 >= this->threshold * kKeepPercent;
  }
  return service.targets.size() >= this->threshold &&
         std::all_of(counts.begin(), counts.end(),
                     [](const auto& item) { return item.second >= kMinCellTargets; });
}

void ServiceDivision::Divide(std::vector<DispatchService>& services) {
  std::map<ServiceId, DispatchService> next;
  this->cells.clear();
  for (DispatchService& service : services) {
    service.cells.clear();
    if (!this->MustDivide(service)) {
      continue;
    }
    service.cells = CellsByDomain(service);
    for (const ServiceCell& cell : service.cells) {
      this->cells[cell.id] = {.service = service.service, .domain = cell.domain};
    }
    next.emplace(service.service, service);
  }
  this->divided = std::move(next);
}

ServiceId ServiceDivision::WholeOf(ServiceId id) const {
  const auto found = this->cells.find(id);
  return found == this->cells.end() ? id : found->second.service;
}

std::optional<DomainId> ServiceDivision::DomainOf(ServiceId id) const {
  const auto found = this->cells.find(id);
  return found == this->cells.end() ? std::nullopt : std::optional(found->second.domain);
}

std::size_t ServiceDivision::CellCountOf(ServiceId id) const {
  const auto found = this->cells.find(id);
  return found == this->cells.end() ? 1 : this->divided.at(found->second.service).cells.size();
}

ServiceId ServiceDivision::PlaceOf(ServiceId service, TargetId target) const {
  const auto found = this->divided.find(service);
  if (found == this->divided.end()) {
    return service;
  }
  const auto& targets = found->second.targets;
  const auto position =
      std::find_if(targets.begin(), targets.end(),
                   [target](const DispatchService::Target& item) { return item.target == target; });
  return position == targets.end() ? service : CellId(service, position->domain);
}

std::vector<HostId> ServiceDivision::RankBrokers(
    ServiceId id,
    const std::vector<HostId>& candidates,
    const std::function<bool(HostId, DomainId)>& is_in) const {
  std::vector<HostId> ranked = RendezvousRank(RawId(id), candidates);
  if (const std::optional<DomainId> domain = this->DomainOf(id)) {
    std::stable_partition(ranked.begin(), ranked.end(),
                          [&](HostId host) { return is_in(host, *domain); });
  }
  return ranked;
}

}  // namespace pimentopin

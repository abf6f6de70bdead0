#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/retry_budget.h"

namespace pimentopin {

// Id that addresses the cell of a service in messages.
ServiceId CellId(ServiceId service, DomainId domain);

// The parts of a service with these targets: one for each failure domain, with its share of the
// floor.
std::vector<ServiceCell> CellsByDomain(const DispatchService& service);

// The targets of one cell as a service of their own.
DispatchService CellAsService(const DispatchService& service, const ServiceCell& cell);

// Limits of the retries of one of `cell_count` cells. Together the cells retry as often as the
// whole service may.
RetryLimits ShareOf(const RetryLimits& limits, std::size_t cell_count);

// Divides services with many targets into cells.
class ServiceDivision {
 public:
  // The smallest cell that makes a service divided.
  static constexpr std::size_t kMinCellTargets = 16;

  // A service is divided from `cell_targets` targets on; never if it is zero.
  explicit ServiceDivision(std::size_t cell_targets) : threshold(cell_targets) {}

  // Sets the cells of the services. A divided service stays so until it has a fifth fewer targets
  // than the threshold.
  void Divide(std::vector<DispatchService>& services);

  // The service of a cell; `id` itself if it is no cell.
  ServiceId WholeOf(ServiceId id) const;
  // Failure domain of a cell; empty if `id` is no cell.
  std::optional<DomainId> DomainOf(ServiceId id) const;
  // Number of cells of the cell's service; one if `id` is no cell.
  std::size_t CellCountOf(ServiceId id) const;
  // The id that receives messages about the target.
  ServiceId PlaceOf(ServiceId service, TargetId target) const;

  // Ranks by rendezvous hashing. Hosts in the failure domain of a cell come before all others.
  std::vector<HostId> RankBrokers(ServiceId id,
                                  const std::vector<HostId>& candidates,
                                  const std::function<bool(HostId, DomainId)>& is_in) const;

 private:
  struct Cell {
    ServiceId service{};
    DomainId domain{};
  };

  bool MustDivide(const DispatchService& service) const;

  std::size_t threshold;
  std::map<ServiceId, DispatchService> divided;
  std::map<ServiceId, Cell> cells;
};

}  // namespace pimentopin

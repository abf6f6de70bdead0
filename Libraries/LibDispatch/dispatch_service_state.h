#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_route.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/view_state.h"

namespace pimentopin {

// What one host knows and counts about one service.
struct DispatchServiceState {
  DispatchService configuration;
  BrokerRoute route;
  ViewState view;
  // Fair queue of the requests that wait in fallback.
  FairQueue waiting_locally;
  RetryBudget retries;
  std::map<TargetId, std::uint32_t> outstanding;
  std::uint32_t outstanding_total = 0;
  std::uint32_t waiting_at_broker = 0;
  std::optional<HostId> reported_to;
  TimePoint reported_at;
};

}  // namespace pimentopin

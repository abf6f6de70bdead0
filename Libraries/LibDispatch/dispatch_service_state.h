#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_selector.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/target_rate_limits.h"
#include "Libraries/LibDispatch/view_state.h"

namespace pimentopin {

// State of one service at one host.
struct DispatchServiceState {
  DispatchService configuration;
  BrokerSelector broker_selector;
  ViewState view;
  // Requests that wait for a slot while no broker is available.
  FairQueue local_queue;
  RetryBudget retries;
  // Limits that targets stated to this host. The broker keeps them for all hosts; without one, each
  // host keeps its share.
  TargetRateLimits rate_limits;
  std::map<TargetId, std::uint32_t> outstanding;
  std::uint32_t outstanding_total = 0;
  std::uint32_t waiting_at_broker = 0;
  std::optional<HostId> reported_to;
  TimePoint reported_at;
};

}  // namespace pimentopin

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
#include "Libraries/LibDispatch/target_ranking.h"
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
  // Results of this host's own attempts, for choices without a broker.
  TargetRanking own_results;
  std::map<TargetId, std::uint32_t> outstanding;
  std::uint32_t outstanding_total = 0;
  std::uint32_t waiting_at_broker = 0;
  // The cells of a divided service, in the order in which this host prefers them.
  std::vector<ServiceId> cell_order;
  // Of a cell: until when it is expected to refuse requests for lack of room.
  TimePoint full_until;
  std::optional<HostId> reported_to;
  TimePoint reported_at;
};

}  // namespace pimentopin

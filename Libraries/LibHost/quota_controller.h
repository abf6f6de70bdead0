#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibHost/metrics.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibPeer/peer_network.h"
#include "Libraries/LibPlatform/platform_store.h"
#include "Libraries/LibQuota/host_quotas.h"

namespace pimentopin {

// Executes the actions of HostQuotas. Everything runs on the control thread.
class QuotaController {
 public:
  using Settings = HostQuotas::Settings;
  using Decided = std::function<void(const QuotaVerdict&)>;

  QuotaController(ControlLoop& loop,
                  SharedState& shared_state,
                  PeerNetwork& peers,
                  PlatformStore& store,
                  Metrics& metrics,
                  Settings settings);

  // Calls `decided` once, at once or after a small part of the time that the request has left.
  void Admit(const Exchange& exchange, Decided decided);
  // Handles messages about quotas; ignores others.
  void OnMessage(const Envelope& envelope);
  // To be called before the first response of the store in this era is handled.
  void OnStoreEra(StoreEra era);
  // Releases the parts that this host holds.
  void SetLeaving();

 private:
  struct WaitingRequest {
    std::string organisation;
    Decided decided;
  };
  // A time in which this host refuses requests of an organisation.
  struct Refusals {
    TimePoint began;
    TimePoint last;
    std::uint64_t count = 0;
  };

  void Configure(const Configuration& configuration);
  void UpdateCandidates();
  void Tick();
  void Execute(const HostQuotaActions& actions);
  void Execute(const SendToHost& action);
  void Execute(const QuotaVerdict& action);
  void Execute(const ReadQuotaParts& action);
  void Execute(const WriteQuotaPartRow& action);
  void Execute(const QuotaPartChange& action);
  void RecordRefusal(const std::string& organisation, const QuotaVerdict& verdict);
  // Logs the refusals that have ended.
  void EndRefusals();

  ControlLoop& loop;
  SharedState& shared_state;
  PeerNetwork& peers;
  PlatformStore& store;
  Metrics& metrics;
  const Settings settings;
  HostQuotas quotas;
  std::unique_ptr<Alarm> alarm;
  std::unique_ptr<Alarm> refusals_alarm;
  std::optional<std::uint64_t> configured_revision;
  std::map<RequestId, WaitingRequest> waiting;
  std::map<std::string, Refusals> refusals;
  // Organisations with a counter of their own.
  std::map<std::string, std::string> refusal_labels;
};

}  // namespace pimentopin

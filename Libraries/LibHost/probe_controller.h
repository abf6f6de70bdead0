#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/service_health.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/http_dialect.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Probes the health of targets. One host per failure domain probes each target, so that all
// probes together take less than 2 % of a target's slots. A host that is isolated from
// peers and the store probes every target itself.
class ProbeController {
 public:
  struct Settings {
    HostId self{};
    DomainId domain{};
    std::string host_name;
    std::string domain_name;
    // Zero disables probes.
    Duration interval{};
    std::shared_ptr<const HttpDialect> dialect;
    std::function<void(ServiceId, const HealthObservation&)> on_observation;
    // Called when a probe newly finds a target draining.
    std::function<void()> on_target_draining;
  };

  ProbeController(ControlLoop& loop,
                  SharedState& shared_state,
                  HttpClient& client,
                  Settings settings);

  // Starts the probes that are due. Call every 100 ms.
  void Tick(TimePoint now);

 private:
  bool IsAssignedProber(const Target& target) const;
  void Probe(const Target& target);
  void OnProbeHeaders(const Target& target, int status, const HttpHeaders& headers);
  void OnProbeEnd(const Target& target, int status, const TransferResult& result);

  ControlLoop& loop;
  SharedState& shared_state;
  HttpClient& client;
  const Settings settings;
  std::map<TargetId, TimePoint> next_probe;
};

}  // namespace pimentopin

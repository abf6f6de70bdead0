#pragma once

#include <functional>
#include <map>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/service_health.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Probes targets. Each target has one prober per failure domain, so that all
// probes together take under 2 % of a target's slots; a host that hears
// neither peers nor table probes every target itself.
class ProbeController {
 public:
  struct Settings {
    HostId self{};
    DomainId domain{};
    std::string host_name;
    std::string domain_name;
    // Zero: no probes.
    Duration interval{};
    std::function<void(ServiceId, const HealthEvidence&)> on_evidence;
    // A target newly announced that it is draining.
    std::function<void()> on_leaving;
  };

  ProbeController(ControlLoop& loop, Blackboard& board, HttpClient& client, Settings settings);

  // Starts the probes that are due; call every 100 ms.
  void Tick(TimePoint now);

 private:
  bool IsOwnDuty(const Target& target) const;
  void Probe(const Target& target);
  void OnAnswered(const Target& target, const HttpHeaders& headers);
  void OnEnded(const Target& target, int status, const TransferResult& end);

  ControlLoop& loop;
  Blackboard& board;
  HttpClient& client;
  const Settings settings;
  std::map<TargetId, TimePoint> next_probe;
};

}  // namespace pimentopin

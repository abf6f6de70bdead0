#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibCore/settings.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_policy.h"
#include "Libraries/LibHost/response_budget.h"
#include "Libraries/LibHttp/http_server.h"

namespace pimentopin {

// Where a limit comes from.
enum class LimitSource : std::uint8_t { kNone, kFlag, kPlatform };

// Settings of a host process.
struct HostSettings {
  std::string name;
  std::string domain;
  // Listening addresses as IP:port; port 0 lets the kernel choose a port.
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // http://IP:port
  std::string platform_url;
  std::size_t traffic_threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_held_body_bytes = kDefaultMaxHeldBodyBytes;
  // Sum of the bytes of target responses that callers have not read yet.
  std::size_t max_held_response_bytes = ResponseBudget::kDefaultMaxBytes;
  std::size_t max_concurrent_requests = 1024;
  // Time for the load balancer to detect that the host is not ready.
  Duration shutdown_delay = std::chrono::seconds(5);
  // Time after which the platform ends a host that it told to stop; zero if it does not.
  Duration shutdown_grace{};
  LimitSource grace_source = LimitSource::kNone;
  // Time after the platform's signal in which a host accepts idempotent requests that may outlast
  // the grace; half of the grace at most.
  Duration cuttable_request_window = Duration::max();
  // Zero disables probes.
  Duration probe_interval = std::chrono::seconds(3);
  // Rate of requests of another host to a service, in requests per second, from which this
  // host, as the broker, sends the service's state to that host unrequested.
  double view_rate = 20;
  // As a broker, serves requests of a service in the order of the priorities of their routes.
  bool queue_by_priority = false;
  // Retries of a service within 10 s: per first attempt, and in addition.
  double retry_fraction = 0.08;
  double retry_extra = 0;
  LimitSource retry_fraction_source = LimitSource::kFlag;
  LimitSource retry_extra_source = LimitSource::kFlag;
  // CPU time available to this host, in thousandths of a core. Hosts with less than half of
  // the largest capacity in the fleet are not broker candidates.
  std::uint32_t capacity_millicores = 1000;
  // Bandwidth of the machine's link; 0 if unknown.
  std::uint32_t link_mbps = 0;
  // Number of targets from which a service is divided into cells; 0 divides none.
  std::size_t cell_targets = 0;
  // Share of a service's slots that ejection leaves in use, unless the configuration of the
  // service sets a number of slots.
  double floor_share = 0;
  LimitSource floor_source = LimitSource::kFlag;
  // Time after which no host accepts a key that the configuration in the store lacks; zero for no
  // such limit.
  Duration key_revocation_time{};
  LimitSource key_revocation_source = LimitSource::kNone;
  // Limits of the platform, in its own format.
  std::string platform_bounds;
  // The whole fleet starts for the first time.
  bool starts_fleet = false;
  // The platform's operator writes the configuration.
  bool platform_configuration = false;
  Placement placement = Placement::kLoad;
  LogLevel log_level = LogLevel::kInfo;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

// The flags and environment variables of the host daemon.
std::vector<SettingDescription> HostSettingDescriptions();

// Converts settings that were parsed with HostSettingDescriptions().
HostSettings ReadHostSettings(const Settings& settings);

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibCore/settings.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Settings of one host process.
struct HostSettings {
  std::string name;
  std::string domain;
  // Listening addresses, IP:port; port 0 lets the kernel choose.
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // http://IP:port
  std::string platform_url;
  std::size_t traffic_threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_concurrent_requests = 1024;
  // Time for the load balancer to notice that the host is not ready.
  Duration shutdown_delay = std::chrono::seconds(5);
  // Zero: targets are not probed.
  Duration probe_interval = std::chrono::seconds(3);
  // Requests per second to a service from which this host, as a broker, sends
  // the service's state to another host without being asked.
  double view_rate = 20;
  // Retries of a service within 10 s: per first attempt, and in addition.
  double retry_fraction = 0.08;
  double retry_extra = 0;
  // Processor time that this host may use, in thousandths of a core. Hosts with
  // less than half of the largest take no duties for others.
  std::uint32_t capacity = 1000;
  // Part of a service's slots that ejection leaves in use, unless its
  // configuration names slots.
  double floor_share = 0;
  // The configuration comes from the platform's operator.
  bool platform_configuration = false;
  LogLevel log_level = LogLevel::kInfo;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

// The flags and environment variables of the host daemon.
std::vector<SettingDescription> HostSettingDescriptions();

// From settings that were read by these descriptions.
HostSettings ReadHostSettings(const Settings& settings);

}  // namespace pimentopin

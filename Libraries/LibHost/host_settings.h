#pragma once

#include <cstddef>
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
  // Peer addresses of other hosts, IP:port.
  std::vector<std::string> seeds;
  // http://IP:port
  std::string platform_url;
  std::size_t traffic_threads = 2;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_concurrent_requests = 1024;
  // Time for the load balancer to notice that the host is not ready.
  Duration shutdown_delay = std::chrono::seconds(5);
  LogLevel log_level = LogLevel::kInfo;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

// The flags and environment variables of the host daemon.
std::vector<SettingDescription> HostSettingDescriptions();

// From settings that were read by these descriptions.
HostSettings ReadHostSettings(const Settings& settings);

}  // namespace pimentopin

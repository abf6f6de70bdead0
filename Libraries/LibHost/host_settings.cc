#include "Libraries/LibHost/host_settings.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

#include "Libraries/LibCore/request_limits.h"

namespace pimentopin {
namespace {

constexpr std::string_view kPlatformScheme = "http://";
constexpr std::size_t kMaxNameBytes = 63;
constexpr double kPercentScale = 100.0;
constexpr double kMaxCores = 1024.0;
constexpr double kMaxBandwidth = 1'000'000.0;
constexpr double kMillicoresPerCore = 1000.0;
// Parts of the machine's memory. The rest is for the process itself and the buffers of sockets.
constexpr std::size_t kBodyMemoryDivisor = 2;
constexpr std::size_t kResponseMemoryDivisor = 8;

std::string CheckName(const std::string& value) {
  const bool is_name =
      value.size() <= kMaxNameBytes &&
      value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
  return is_name ? "" : "must be 1 to 63 lower-case letters, digits and '-'";
}

std::string CheckPlatformUrl(const std::string& value) {
  const bool is_url = value.starts_with(kPlatformScheme) && value.size() > kPlatformScheme.size();
  return is_url ? "" : "must start with http://";
}

// Empty if the text is anything but one number.
std::optional<double> ParseNumber(const std::string& text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? std::optional(number)
                                                                  : std::nullopt;
}

std::string CheckCores(const std::string& value) {
  const std::optional<double> cores = ParseNumber(value);
  const bool valid = cores && *cores > 0 && *cores <= kMaxCores;
  return valid ? "" : "must be a number of cores above 0 and at most 1024";
}

std::string CheckBandwidth(const std::string& value) {
  const std::optional<double> bandwidth = ParseNumber(value);
  const bool valid = bandwidth && *bandwidth >= 0 && *bandwidth <= kMaxBandwidth;
  return valid ? "" : "must be a bandwidth in Mbit/s of at least 0 and at most 1000000";
}

LogLevel ToLogLevel(const std::string& text) {
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "warning") {
    return LogLevel::kWarning;
  }
  return text == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace

std::vector<SettingDescription> HostSettingDescriptions() {
  return {
      {.name = "name", .help = "unique name of this host", .required = true, .check = CheckName},
      {.name = "domain",
       .help = "failure domain of this host",
       .required = true,
       .check = CheckName},
      {.name = "caller-address",
       .kind = SettingKind::kAddress,
       .help = "listening address for callers; port 0 lets the kernel choose a port",
       .unit = "IP:port",
       .required = true},
      {.name = "operator-address",
       .kind = SettingKind::kAddress,
       .help = "listening address for operators, health checks and metrics",
       .unit = "IP:port",
       .required = true},
      {.name = "peer-address",
       .kind = SettingKind::kAddress,
       .help = "listening address for other hosts, which must be able to reach it as given",
       .unit = "IP:port",
       .required = true},
      {.name = "platform-url",
       .help = "base URL of the platform's store",
       .unit = "http://IP:port",
       .required = true,
       .check = CheckPlatformUrl},
      {.name = "traffic-threads",
       .kind = SettingKind::kNumber,
       .help = "threads that serve callers",
       .unit = "threads",
       .default_value = "2",
       .minimum = 1,
       .maximum = 256},
      {.name = "max-body-bytes",
       .kind = SettingKind::kNumber,
       .help = "maximum size of a request body",
       .unit = "bytes",
       .default_value = "1048576",
       .minimum = 1,
       .maximum = std::int64_t{kMaxBodyLimitBytes}},
      {.name = "max-held-body-bytes",
       .kind = SettingKind::kNumber,
       .help = "maximum sum of the request bodies in memory; further ones are refused as not run, "
               "and bodies that never fit as too large",
       .unit = "bytes",
       .default_value = std::to_string(kDefaultMaxHeldBodyBytes),
       .minimum = 1,
       .maximum = std::int64_t{1} << 40},
      {.name = "memory-mb",
       .kind = SettingKind::kNumber,
       .help = "memory of this host's machine; request bodies take up to a half and unread "
               "responses up to an eighth of it; 0 if it is not limited",
       .unit = "megabytes",
       .default_value = "0",
       .maximum = 1 << 24},
      {.name = "max-concurrent-requests",
       .kind = SettingKind::kNumber,
       .help = "maximum number of concurrent requests; further ones are refused as not run",
       .unit = "requests",
       .default_value = "1024",
       .minimum = 1,
       .maximum = 1 << 20},
      {.name = "shutdown-delay-ms",
       .kind = SettingKind::kNumber,
       .help = "time between becoming not ready and closing the listening socket",
       .unit = "milliseconds",
       .default_value = "5000",
       .maximum = 600000},
      {.name = "probe-interval-ms",
       .kind = SettingKind::kNumber,
       .help = "interval at which each failure domain probes a target; 0 disables probes",
       .unit = "milliseconds",
       .default_value = "3000",
       .maximum = 600000},
      {.name = "view-rate",
       .kind = SettingKind::kNumber,
       .help = "requests of a host to a service from which the broker sends it the service's state "
               "unrequested",
       .unit = "requests per second",
       .default_value = "20",
       .maximum = 1000000},
      {.name = "queue-order",
       .kind = SettingKind::kChoice,
       .help = "order in which waiting requests are served: by priority, with a minimum share for "
               "each, or fair between organisations only",
       .default_value = "fair",
       .choices = {"fair", "priority"}},
      {.name = "retry-percent",
       .kind = SettingKind::kNumber,
       .help = "retries of a service per 100 first attempts within 10 s",
       .unit = "percent",
       .default_value = "8",
       .maximum = 100},
      {.name = "retry-extra",
       .kind = SettingKind::kNumber,
       .help = "additional retries of a service within 10 s; 0 allows one per second",
       .unit = "retries",
       .default_value = "0",
       .maximum = 1000000},
      {.name = "floor-percent",
       .kind = SettingKind::kNumber,
       .help = "share of the slots that ejection leaves in use if a service sets no floor",
       .unit = "percent",
       .default_value = "0",
       .maximum = 100},
      {.name = "key-revocation-ms",
       .kind = SettingKind::kNumber,
       .help = "time after which no host accepts a key that was withdrawn in the store, not even "
               "one without contact, which then refuses requests that need a key; 0 for no limit; "
               "needs --configuration platform",
       .unit = "milliseconds",
       .default_value = "0",
       .maximum = 3600000},
      {.name = "platform-bounds",
       .help = "limits of the platform (retry-budget-ratio, budget-extra, floor-share, grace-s, "
               "strict-revoke with revoke-s), as a JSON object or as name=value separated by "
               "commas; they replace retry-percent, retry-extra, floor-percent and "
               "key-revocation-ms",
       .may_be_empty = true},
      {.name = "bootstrap",
       .help = "true if the whole fleet starts for the first time, so that no other host has held "
               "a part of the quotas before",
       .default_value = "false",
       .may_be_empty = true,
       .choices = {"", "false", "true"}},
      {.name = "cores",
       .help =
           "CPU time available to this host; hosts with less than half of the largest value are no "
           "brokers",
       .unit = "cores",
       .default_value = "1",
       .check = CheckCores},
      {.name = "link-mbps",
       .help = "bandwidth of this host's link; of the hosts with enough processor time, those with "
               "less "
               "than half of the largest value are no brokers; 0 or empty if unknown",
       .unit = "Mbit/s",
       .default_value = "0",
       .may_be_empty = true,
       .check = CheckBandwidth},
      {.name = "cell-targets",
       .kind = SettingKind::kNumber,
       .help = "number of targets from which a service is divided into cells by failure domain; 0 "
               "divides none. All hosts must have the same value",
       .unit = "targets",
       .default_value = "0",
       .maximum = 1000000},
      {.name = "configuration",
       .kind = SettingKind::kChoice,
       .help = "who writes the configuration: the operators of the hosts or of the platform",
       .default_value = "own",
       .choices = {"own", "platform"}},
      {.name = "placement",
       .kind = SettingKind::kChoice,
       .help = "what requests are placed by: the occupied slots of the targets, or the expected "
               "completion, learned from the work of requests that look alike",
       .default_value = "load",
       .choices = {"load", "expected-completion"}},
      {.name = "log-level",
       .kind = SettingKind::kChoice,
       .help = "minimum severity of log lines",
       .default_value = "info",
       .choices = {"debug", "info", "warning", "error"}},
  };
}

HostSettings ReadHostSettings(const Settings& settings) {
  HostSettings result;
  result.name = settings.Text("name");
  result.domain = settings.Text("domain");
  result.caller_address = settings.Text("caller-address");
  result.operator_address = settings.Text("operator-address");
  result.peer_address = settings.Text("peer-address");
  result.platform_url = settings.Text("platform-url");
  result.traffic_threads = static_cast<std::size_t>(settings.Number("traffic-threads"));
  result.max_body_bytes = static_cast<std::size_t>(settings.Number("max-body-bytes"));
  result.max_held_body_bytes = static_cast<std::size_t>(settings.Number("max-held-body-bytes"));
  if (const auto memory_bytes = static_cast<std::size_t>(settings.Number("memory-mb")) << 20;
      memory_bytes > 0) {
    result.max_held_body_bytes =
        std::min(result.max_held_body_bytes, memory_bytes / kBodyMemoryDivisor);
    result.max_held_response_bytes =
        std::min(result.max_held_response_bytes, memory_bytes / kResponseMemoryDivisor);
  }
  result.max_concurrent_requests =
      static_cast<std::size_t>(settings.Number("max-concurrent-requests"));
  result.shutdown_delay = std::chrono::milliseconds(settings.Number("shutdown-delay-ms"));
  result.probe_interval = std::chrono::milliseconds(settings.Number("probe-interval-ms"));
  result.view_rate = static_cast<double>(settings.Number("view-rate"));
  result.queue_by_priority = settings.Text("queue-order") == "priority";
  result.retry_fraction = static_cast<double>(settings.Number("retry-percent")) / kPercentScale;
  result.retry_extra = static_cast<double>(settings.Number("retry-extra"));
  result.platform_bounds = settings.Text("platform-bounds");
  result.starts_fleet = settings.Text("bootstrap") == "true";
  result.capacity_millicores =
      static_cast<std::uint32_t>(std::stod(settings.Text("cores")) * kMillicoresPerCore);
  const std::string link = settings.Text("link-mbps");
  result.link_mbps = link.empty() ? 0 : static_cast<std::uint32_t>(std::stod(link));
  result.cell_targets = static_cast<std::size_t>(settings.Number("cell-targets"));
  result.floor_share = static_cast<double>(settings.Number("floor-percent")) / kPercentScale;
  result.key_revocation_time = std::chrono::milliseconds(settings.Number("key-revocation-ms"));
  if (result.key_revocation_time > Duration::zero()) {
    result.key_revocation_source = LimitSource::kFlag;
  }
  result.platform_configuration = settings.Text("configuration") == "platform";
  result.placement = settings.Text("placement") == "expected-completion"
                         ? Placement::kExpectedCompletion
                         : Placement::kLoad;
  result.log_level = ToLogLevel(settings.Text("log-level"));
  return result;
}

}  // namespace pimentopin

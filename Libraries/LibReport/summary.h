#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibReport/latency_histogram.h"

namespace pimentopin {

// Counts and latencies of one service at one host, or summed over several hosts.
struct ServiceSummary {
  std::string service;
  // Finished requests; the sum of complete, broken, refused_not_run, unknown and
  // abandoned.
  std::uint64_t requests = 0;
  // Requests whose caller received the whole response.
  std::uint64_t complete = 0;
  // Complete requests that ended after the caller's deadline.
  std::uint64_t late = 0;
  // Requests whose response was truncated after it had started.
  std::uint64_t broken = 0;
  // Requests that were refused without having run.
  std::uint64_t refused_not_run = 0;
  // Requests that may or may not have run.
  std::uint64_t unknown = 0;
  // Requests whose caller disconnected before there was an outcome.
  std::uint64_t abandoned = 0;
  // Attempts after the first one of each request.
  std::uint64_t retried = 0;
  // Non-idempotent requests with more than one attempt that may have been sent and
  // was not shed, plus keyed requests whose claim was held by another attempt when
  // their outcome was stored.
  std::uint64_t doubled = 0;
  std::uint64_t ejections = 0;
  // Ejections after which the target was back at full capacity within 45 s,
  // SummaryRecorder::kFalseEjectionWindow, other than by reinstatement for the floor.
  // Includes targets that recovered in that time, so this is an upper bound of the
  // wrong ejections.
  std::uint64_t false_ejections = 0;
  // From the first evidence against the target to its ejection.
  LatencyHistogram detection_times;
  // From the arrival of the request to the end of the response, for complete
  // requests only.
  LatencyHistogram short_latency;
  LatencyHistogram long_latency;
  // Complete short requests that arrived while, by the broker's last view, requests
  // of the service were queued at the broker.
  LatencyHistogram peak_latency;
  // Complete short requests that arrived while their host was handling a long request
  // for the same service.
  LatencyHistogram blocking_latency;

  friend bool operator==(const ServiceSummary&, const ServiceSummary&) = default;
};

// Adds the counts and histograms; the service name is that of `first`.
ServiceSummary Sum(const ServiceSummary& first, const ServiceSummary& second);

// Summary of one host over one or more periods. Stored once under Key().
struct HostSummary {
  std::string host;
  // Distinguishes successive runs of the host process.
  std::uint64_t incarnation = 0;
  // First and last period. They differ if summaries were merged while the object
  // store was unavailable.
  std::uint64_t first_sequence = 0;
  std::uint64_t sequence = 0;
  // Milliseconds since the Unix epoch.
  std::uint64_t started_at_ms = 0;
  std::uint64_t ended_at_ms = 0;
  // Ordered by name.
  std::vector<ServiceSummary> services;

  // Month in which the first period started, YYYY-MM in UTC.
  std::string Month() const;
  // summary/<month>/<host>-<incarnation>/<sequence>
  std::string Key() const;

  friend bool operator==(const HostSummary&, const HostSummary&) = default;
};

// Merges the summaries of two successive periods of one host in the same month.
HostSummary MergeSummaries(const HostSummary& earlier, const HostSummary& later);

std::string SummaryToJson(const HostSummary& summary);
// Returns std::nullopt and sets `error` to ErrorCode::kProtocol with a reason if
// the text is not a summary in the current format version.
std::optional<HostSummary> SummaryFromJson(std::string_view json, Error& error);

// Prefix of the object keys of all summaries of a month.
std::string SummaryPrefix(std::string_view month);
// Returns true for YYYY-MM with a month from 01 to 12.
bool IsMonth(std::string_view text);

}  // namespace pimentopin

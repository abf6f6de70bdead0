#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibReport/latency_histogram.h"

namespace pimentopin {

// What one host counted for one service, or the sum over several hosts.
struct ServiceSummary {
  std::string service;
  // Requests that ended; the sum of complete, broken, refused_not_run, unknown
  // and abandoned.
  std::uint64_t requests = 0;
  // Callers that received the whole response.
  std::uint64_t complete = 0;
  // Of the complete ones, those that ended after the caller's deadline.
  std::uint64_t late = 0;
  // Responses that were cut off after they had started.
  std::uint64_t broken = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  // Callers that went away before an outcome.
  std::uint64_t abandoned = 0;
  // Attempts beyond the first of their request.
  std::uint64_t retried = 0;
  // Non-idempotent requests known to have run more than once.
  std::uint64_t doubled = 0;
  std::uint64_t ejections = 0;
  // Ejections that look wrong afterwards; an upper bound.
  std::uint64_t false_ejections = 0;
  // From the first evidence of an episode to the ejection.
  LatencyHistogram detection_times;
  // From the arrival of the request to the end of a complete response.
  LatencyHistogram short_latency;
  LatencyHistogram long_latency;
  // Short work that arrived during a demand peak.
  LatencyHistogram peak_latency;
  // Short work that arrived while long work held slots of the service.
  LatencyHistogram blocking_latency;

  friend bool operator==(const ServiceSummary&, const ServiceSummary&) = default;
};

// Adds counts and histograms; the service name is that of `first`.
ServiceSummary Sum(const ServiceSummary& first, const ServiceSummary& second);

// One host's period. Written once under its key.
struct HostSummary {
  std::string host;
  std::uint64_t incarnation = 0;
  // Periods covered; more than one if periods were joined while the object
  // store was down.
  std::uint64_t first_sequence = 0;
  std::uint64_t sequence = 0;
  // Milliseconds since the Unix epoch.
  std::uint64_t started_at_ms = 0;
  std::uint64_t ended_at_ms = 0;
  // Ordered by name.
  std::vector<ServiceSummary> services;

  // YYYY-MM (UTC) in which the period started.
  std::string Month() const;
  // summary/<month>/<host>-<incarnation>/<sequence>
  std::string Key() const;

  friend bool operator==(const HostSummary&, const HostSummary&) = default;
};

// One summary of two successive periods of one host in the same month.
HostSummary Joined(const HostSummary& earlier, const HostSummary& later);

std::string SummaryToJson(const HostSummary& summary);
// Absent with a reason if the text is not a summary of this format.
std::optional<HostSummary> SummaryFromJson(std::string_view json, Error& error);

// Prefix of the keys of a month.
std::string SummaryPrefix(std::string_view month);
// True for YYYY-MM.
bool IsMonth(std::string_view text);

}  // namespace pimentopin

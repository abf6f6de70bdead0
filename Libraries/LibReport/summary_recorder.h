#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHealth/service_health.h"
#include "Libraries/LibProtocol/slot_messages.h"
#include "Libraries/LibReport/summary.h"

namespace pimentopin {

// A finished request as seen by the host that received it.
struct RequestRecord {
  std::string service;
  WorkClass work_class = WorkClass::kShort;
  Outcome outcome = Outcome::kNotRun;
  bool idempotent = false;
  // The response was truncated after it had started.
  bool broken = false;
  // The caller disconnected before there was an outcome.
  bool abandoned = false;
  // The response ended after the caller's deadline.
  bool late = false;
  std::uint32_t attempts = 0;
  // Attempts that may have been sent and were not shed by their target.
  std::uint32_t possible_runs = 0;
  // From arrival to the end of the response.
  Duration latency{};
  // Requests were queued at the service's broker when this one arrived.
  bool in_demand_peak = false;
  // The host had long requests of the service in progress when this one arrived.
  bool arrived_during_long_work = false;

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// Counts the requests and health events of one host and summarises each period.
class SummaryRecorder {
 public:
  // A target that returns to full capacity within this time after its ejection
  // counts as falsely ejected: 10 s of ejection, 10 s of ramp-up and 25 s for the
  // five requests of the probation. A target that recovered in that time is
  // counted as well.
  static constexpr Duration kFalseEjectionWindow = std::chrono::seconds(45);

  SummaryRecorder(std::string host_name, std::uint64_t host_incarnation, std::uint64_t now_ms);

  void OnRequest(const RequestRecord& request);
  // Counts an event of a service whose broker is this host.
  void OnHealthEvent(const std::string& service, const HealthEvent& event);
  // Counts a keyed request whose claim was held by another attempt when its
  // outcome was stored.
  void OnClaimByOtherAttempt(const std::string& service);

  // Ends the period, returns its summary and starts the next one. Returns
  // std::nullopt if nothing was counted. `now_ms` is in milliseconds since the
  // Unix epoch.
  std::optional<HostSummary> Close(std::uint64_t now_ms);

 private:
  ServiceSummary& ServiceEntry(const std::string& service);

  std::string host;
  std::uint64_t incarnation;
  std::uint64_t next_sequence = 0;
  std::uint64_t started_at_ms;
  std::map<std::string, ServiceSummary> services;
  std::map<TargetId, TimePoint> ejected_at;
};

}  // namespace pimentopin

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

// How a request ended, as its host knows it.
struct RequestRecord {
  std::string service;
  WorkClass work_class = WorkClass::kShort;
  Outcome outcome = Outcome::kNotRun;
  bool idempotent = false;
  // The response was cut off after it had started.
  bool broken = false;
  // The caller went away before an outcome.
  bool abandoned = false;
  // The response ended after the caller's deadline.
  bool late = false;
  std::uint32_t attempts = 0;
  // Attempts that may have been sent and were not shed by their target.
  std::uint32_t possible_runs = 0;
  // From arrival to the end of the response.
  Duration latency{};
  // At arrival, requests waited at the service's broker.
  bool in_demand_peak = false;
  // At arrival, long work held slots of the service.
  bool beside_long_work = false;

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// Counts what one host sees and closes it period by period.
class SummaryRecorder {
 public:
  // A target that returns to full work this soon after its ejection counts as
  // falsely ejected: 10 s of ejection, 10 s of ramp and 25 s for the five
  // requests of the probation. A target that recovered meanwhile counts too.
  static constexpr Duration kFalseEjectionWindow = std::chrono::seconds(45);

  SummaryRecorder(std::string host_name, std::uint64_t host_incarnation, std::uint64_t now_ms);

  void OnRequest(const RequestRecord& request);
  // Events of the services that this host brokers.
  void OnHealthEvent(const std::string& service, const HealthEvent& event);
  // Storing the outcome of a keyed run found the claim of another attempt.
  void OnForeignClaim(const std::string& service);

  // Ends the period and starts the next; absent if nothing was counted.
  // `now_ms` is in milliseconds since the Unix epoch.
  std::optional<HostSummary> Close(std::uint64_t now_ms);

 private:
  ServiceSummary& Entry(const std::string& service);

  std::string host;
  std::uint64_t incarnation;
  std::uint64_t next_sequence = 0;
  std::uint64_t started_at_ms;
  std::map<std::string, ServiceSummary> services;
  std::map<TargetId, TimePoint> ejected_at;
};

}  // namespace pimentopin

#include "Libraries/LibReport/summary_recorder.h"

#include <utility>

namespace pimentopin {
namespace {

void CountOutcome(const RequestRecord& request, ServiceSummary& entry) {
  if (request.abandoned) {
    ++entry.abandoned;
  } else if (request.broken) {
    ++entry.broken;
  } else if (request.outcome == Outcome::kNotRun) {
    ++entry.refused_not_run;
  } else if (request.outcome == Outcome::kUnknown) {
    ++entry.unknown;
  } else {
    ++entry.complete;
    entry.late += request.late ? 1 : 0;
  }
}

bool IsComplete(const RequestRecord& request) {
  return !request.abandoned && !request.broken && request.outcome == Outcome::kTarget;
}

void CountLatency(const RequestRecord& request, ServiceSummary& entry) {
  if (request.work_class == WorkClass::kLong) {
    entry.long_latency.Add(request.latency);
    return;
  }
  entry.short_latency.Add(request.latency);
  if (request.in_demand_peak) {
    entry.peak_latency.Add(request.latency);
  }
  if (request.arrived_during_long_work) {
    entry.blocking_latency.Add(request.latency);
  }
}

}  // namespace

SummaryRecorder::SummaryRecorder(std::string host_name,
                                 std::uint64_t host_incarnation,
                                 std::uint64_t now_ms)
    : host(std::move(host_name)), incarnation(host_incarnation), started_at_ms(now_ms) {}

void SummaryRecorder::OnRequest(const RequestRecord& request) {
  ServiceSummary& entry = this->ServiceEntry(request.service);
  ++entry.requests;
  CountOutcome(request, entry);
  if (IsComplete(request)) {
    CountLatency(request, entry);
  }
  entry.retried += request.attempts > 1 ? request.attempts - 1 : 0;
  entry.doubled += !request.idempotent && request.possible_runs > 1 ? 1 : 0;
}

void SummaryRecorder::OnHealthEvent(const std::string& service, const HealthEvent& event) {
  switch (event.kind) {
    case HealthEventKind::kEjected: {
      ServiceSummary& entry = this->ServiceEntry(service);
      ++entry.ejections;
      entry.detection_times.Add(event.detection_time);
      this->ejected_at[event.target] = event.at;
      return;
    }
    case HealthEventKind::kReturned: {
      const auto ejection = this->ejected_at.find(event.target);
      if (ejection == this->ejected_at.end()) {
        return;
      }
      if (event.at - ejection->second <= kFalseEjectionWindow) {
        ++this->ServiceEntry(service).false_ejections;
      }
      this->ejected_at.erase(ejection);
      return;
    }
    case HealthEventKind::kReinstatedForFloor:
      // The target was reinstated to keep the capacity floor, which says nothing
      // about its health.
      this->ejected_at.erase(event.target);
      return;
    case HealthEventKind::kProbation:
      return;
  }
}

void SummaryRecorder::OnClaimByOtherAttempt(const std::string& service) {
  ++this->ServiceEntry(service).doubled;
}

std::optional<HostSummary> SummaryRecorder::Close(std::uint64_t now_ms) {
  const std::uint64_t period_start_ms = std::exchange(this->started_at_ms, now_ms);
  if (this->services.empty()) {
    return std::nullopt;
  }
  HostSummary summary{.host = this->host,
                      .incarnation = this->incarnation,
                      .first_sequence = this->next_sequence,
                      .sequence = this->next_sequence,
                      .started_at_ms = period_start_ms,
                      .ended_at_ms = now_ms};
  ++this->next_sequence;
  for (auto& [name, entry] : this->services) {
    summary.services.push_back(std::move(entry));
  }
  this->services.clear();
  return summary;
}

ServiceSummary& SummaryRecorder::ServiceEntry(const std::string& service) {
  ServiceSummary& entry = this->services[service];
  entry.service = service;
  return entry;
}

}  // namespace pimentopin

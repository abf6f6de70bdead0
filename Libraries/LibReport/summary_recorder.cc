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
  if (request.beside_long_work) {
    entry.blocking_latency.Add(request.latency);
  }
}

}  // namespace

SummaryRecorder::SummaryRecorder(std::string host_name,
                                 std::uint64_t host_incarnation,
                                 std::uint64_t now_ms)
    : host(std::move(host_name)), incarnation(host_incarnation), started_at_ms(now_ms) {}

void SummaryRecorder::OnRequest(const RequestRecord& request) {
  ServiceSummary& entry = this->Entry(request.service);
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
      ServiceSummary& entry = this->Entry(service);
      ++entry.ejections;
      entry.detection_times.Add(event.detection_time);
      this->ejected_at[event.target] = event.at;
      return;
    }
    case HealthEventKind::kReturned: {
      const auto ejected = this->ejected_at.find(event.target);
      if (ejected == this->ejected_at.end()) {
        return;
      }
      if (event.at - ejected->second <= kFalseEjectionWindow) {
        ++this->Entry(service).false_ejections;
      }
      this->ejected_at.erase(ejected);
      return;
    }
    case HealthEventKind::kReinstatedForFloor:
      // It returned for want of capacity, which says nothing about its health.
      this->ejected_at.erase(event.target);
      return;
    case HealthEventKind::kProbation:
      return;
  }
}

void SummaryRecorder::OnForeignClaim(const std::string& service) {
  ++this->Entry(service).doubled;
}

std::optional<HostSummary> SummaryRecorder::Close(std::uint64_t now_ms) {
  const std::uint64_t start = std::exchange(this->started_at_ms, now_ms);
  if (this->services.empty()) {
    return std::nullopt;
  }
  HostSummary summary{.host = this->host,
                      .incarnation = this->incarnation,
                      .first_sequence = this->next_sequence,
                      .sequence = this->next_sequence,
                      .started_at_ms = start,
                      .ended_at_ms = now_ms};
  ++this->next_sequence;
  for (auto& [name, entry] : this->services) {
    summary.services.push_back(std::move(entry));
  }
  this->services.clear();
  return summary;
}

ServiceSummary& SummaryRecorder::Entry(const std::string& service) {
  ServiceSummary& entry = this->services[service];
  entry.service = service;
  return entry;
}

}  // namespace pimentopin

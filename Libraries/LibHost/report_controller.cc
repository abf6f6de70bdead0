#include "Libraries/LibHost/report_controller.h"

#include <utility>

#include "Libraries/LibHost/wall_clock.h"

namespace pimentopin {
namespace {

constexpr Duration kSummaryPeriod = std::chrono::seconds(60);

}  // namespace

ReportController::ReportController(ObjectStore& objects,
                                   const std::string& host_name,
                                   std::uint64_t incarnation,
                                   SummaryWriter::DropHandler on_dropped)
    : recorder(host_name, incarnation, WallClockMs()),
      writer(objects, std::move(on_dropped)),
      period_end(SteadyNow() + kSummaryPeriod) {}

void ReportController::OnFinished(const FinishedRequest& finished) {
  this->recorder.OnRequest({.service = finished.service,
                            .work_class = finished.work_class,
                            .outcome = finished.outcome,
                            .idempotent = finished.idempotent,
                            .broken = finished.broken,
                            .abandoned = finished.abandoned,
                            .late = finished.late,
                            .attempts = finished.attempts,
                            .possible_runs = finished.possible_runs,
                            .latency = finished.latency,
                            .in_demand_peak = finished.in_demand_peak,
                            .arrived_during_long_work = finished.arrived_during_long_work});
}

void ReportController::OnHealthEvent(const std::string& service, const HealthEvent& event) {
  this->recorder.OnHealthEvent(service, event);
}

void ReportController::OnClaimByOtherAttempt(const std::string& service) {
  this->recorder.OnClaimByOtherAttempt(service);
}

void ReportController::Tick(TimePoint now) {
  if (now >= this->period_end) {
    this->Close(now);
  }
  this->writer.Tick(now);
}

void ReportController::Close(TimePoint now) {
  this->period_end = now + kSummaryPeriod;
  if (auto summary = this->recorder.Close(WallClockMs())) {
    this->writer.Add(std::move(*summary));
  }
  this->writer.Tick(now);
}

}  // namespace pimentopin

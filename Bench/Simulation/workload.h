#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "Bench/Simulation/event_queue.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin::bench {

struct WorkloadOrganisation {
  OrganisationId organisation{};
  // Relative share of the requests.
  double weight = 1.0;
};

// From `at` after the start on, demand is `factor` times the base rate.
struct DemandStep {
  Duration at{};
  double factor = 1.0;
};

struct WorkloadSettings {
  ServiceId service{};
  double requests_per_second = 100.0;
  // In order of time.
  std::vector<DemandStep> steps;
  std::vector<WorkloadOrganisation> organisations{{OrganisationId{1}, 1.0}};
  double long_share = 0.0;
  double idempotent_share = 0.5;
  Duration short_deadline = std::chrono::seconds(2);
  Duration long_deadline = std::chrono::seconds(30);
  // Arrivals end here, measured from the start.
  Duration duration = std::chrono::seconds(60);
};

struct WorkloadArrival {
  ServiceId service{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = false;
  Duration deadline{};
};

// Open-loop Poisson arrivals: their times do not depend on any answer.
class Workload {
 public:
  using Sink = std::function<void(const WorkloadArrival& arrival)>;

  Workload(EventQueue& event_queue,
           WorkloadSettings workload_settings,
           std::uint64_t seed,
           Sink arrival_sink);

  // Begins now.
  void Start();
  // Rate that offers `load` of the slots' capacity, long work included.
  static double RateFor(double load,
                        std::uint32_t slots,
                        Duration service_time,
                        double long_share,
                        double long_factor);

 private:
  void ScheduleNext();
  void Arrive();
  double RateAt(Duration elapsed, Duration& until) const;

  EventQueue& events;
  WorkloadSettings settings;
  RandomSource random;
  Sink sink;
  TimePoint start;
};

}  // namespace pimentopin::bench

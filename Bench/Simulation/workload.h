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

// Demand is `factor` times the base rate from the time `at` after the start.
struct DemandStep {
  Duration at{};
  double factor = 1.0;
};

// Requests of one kind. Their work is drawn with the arrivals, so it does not depend on where they
// run.
struct WorkloadKind {
  RequestKind kind{};
  WorkKey key{};
  // Relative share of the requests.
  double weight = 1.0;
  Duration mean_work{};
  // Standard deviation of the logarithm of the work.
  double spread = 0.3;
  // Share of requests that take `tail_factor` times the mean.
  double tail_share = 0.0;
  double tail_factor = 1.0;
  Duration deadline{};
};

struct WorkloadSettings {
  ServiceId service{};
  double requests_per_second = 100.0;
  // Sorted by time.
  std::vector<DemandStep> steps;
  std::vector<WorkloadOrganisation> organisations{{OrganisationId{1}, 1.0}};
  // If there are any, requests are short work of these kinds.
  std::vector<WorkloadKind> kinds;
  // Gives each request the key and kind of a random one, as a control.
  bool shuffle_kinds = false;
  double long_share = 0.0;
  double idempotent_share = 0.5;
  Duration short_deadline = std::chrono::seconds(2);
  Duration long_deadline = std::chrono::seconds(30);
  // Time after the start at which arrivals end.
  Duration duration = std::chrono::seconds(60);
};

struct WorkloadArrival {
  ServiceId service{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = false;
  Duration deadline{};
  RequestKind kind{};
  WorkKey key{};
  // Work at a target of normal speed; zero if the target draws it.
  Duration work{};
  // Index of the kind in the settings.
  std::size_t kind_index = 0;
};

// Open-loop Poisson arrivals: arrival times do not depend on responses.
class Workload {
 public:
  using ArrivalHook = std::function<void(const WorkloadArrival& arrival)>;

  Workload(EventQueue& event_queue,
           WorkloadSettings workload_settings,
           std::uint64_t seed,
           ArrivalHook arrival_hook);

  void Start();
  // Returns the requests per second that load the slots to the fraction `load` of
  // their capacity, long work included.
  static double RateForLoad(double load,
                            std::uint32_t slots,
                            Duration service_time,
                            double long_share,
                            double long_factor);

 private:
  void ScheduleNext();
  void EmitArrival();
  void SetKind(WorkloadArrival& arrival);
  std::size_t DrawKind();
  double RateAt(Duration elapsed, Duration& rate_valid_until) const;

  EventQueue& events;
  WorkloadSettings settings;
  RandomSource random;
  ArrivalHook on_arrival;
  TimePoint start;
};

}  // namespace pimentopin::bench

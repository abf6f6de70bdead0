#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/slot_table.h"
#include "Libraries/LibDispatch/work_estimate.h"

namespace pimentopin {

// Expected completion of a request at one target.
struct ExpectedCompletion {
  // Until a slot is free, by the attempts that the broker knows.
  Duration wait{};
  // Until a slot is free, in addition, by the load that the target stated.
  Duration stated_wait{};
  // Work of the request, and the factor by which this target takes longer than the others.
  Duration work{};
  double slowness = 1.0;

  Duration Run() const {
    return FromMicroseconds(static_cast<double>(this->work.count()) * this->slowness);
  }
  Duration Total() const { return this->wait + this->stated_wait + this->Run(); }
  // Delay by this target's load and speed, relative to the work of the request; negative at a fast
  // target, zero if the work is unknown.
  double RelativeDelay() const;

  friend bool operator==(const ExpectedCompletion&, const ExpectedCompletion&) = default;
};

// A target has become clearly slower than the others, or is no longer.
struct SpeedChange {
  TargetId target{};
  bool slow = false;
  double slowness = 1.0;

  friend bool operator==(const SpeedChange&, const SpeedChange&) = default;
};

// The work that each target of a service still has to do, and how fast it does it, learned from the
// attempts of all hosts.
class TargetWork {
 public:
  const WorkEstimate& estimate() const { return this->work_estimate; }
  // Removes the state of the targets for which `is_removed` returns true.
  void RemoveTargets(const std::function<bool(TargetId)>& is_removed);

  // Expected completion of a request that is sent to the target now. `holders` are the attempts at
  // the target, in the order in which they were sent.
  ExpectedCompletion Expect(TimePoint now,
                            TargetId target,
                            std::uint32_t slots,
                            const std::vector<const SlotHolder*>& holders,
                            const WorkTraits& traits);
  // Expected work left of the attempts at the target.
  Duration Outstanding(TimePoint now,
                       TargetId target,
                       const std::vector<const SlotHolder*>& holders) const;
  // Factor by which the target takes longer than the others; 1 if it does not differ clearly.
  double Slowness(TimePoint now, TargetId target) const;

  // The changes since the last call; at most one for each target and second.
  std::vector<SpeedChange> TakeSpeedChanges(TimePoint now);

  // Learns from an attempt that has ended with a response or a time-out.
  void RecordEnd(TimePoint now, const SlotHolder& holder, AttemptResult result, Duration lasted);
  // The target stated its load while the broker knew of `known` attempts there.
  void RecordLoad(TimePoint now, TargetId target, std::size_t known, const TargetLoad& load);

 private:
  // Average of a ratio, in which samples are forgotten with time.
  struct DecayingAverage {
    double sum = 0;
    double weight = 0;
    TimePoint updated_at;

    void Add(TimePoint now, double value);
    double WeightAt(TimePoint now) const;
  };
  struct State {
    // Duration of attempts over the expectation at their start.
    DecayingAverage slowness;
    // Attempts of others than this broker, by the target's own statement.
    double foreign_attempts = 0;
    TimePoint stated_at;
    // Confidence in the statements, from 0 to 1: whether attempts waited as stated.
    double trust = 0.5;
    bool reported_slow = false;
    // Last result of EndRate(), and what it was computed from.
    double end_rate = 0;
    TimePoint rated_at;
    std::size_t rated_attempts = 0;
    const SlotHolder* rated_oldest = nullptr;
  };

  // Attempts per microsecond that the target ends while it has more of them than slots.
  double EndRate(TimePoint now,
                 State& state,
                 std::uint32_t slots,
                 double slowness,
                 const std::vector<const SlotHolder*>& holders);
  double ForeignAttempts(TimePoint now, TargetId target) const;

  WorkEstimate work_estimate;
  std::map<TargetId, State> targets;
  DecayingAverage fleet_slowness;
  TimePoint changes_taken_at;
};

}  // namespace pimentopin

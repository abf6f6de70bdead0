#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "Tests/LibHealth/simulated_fleet.h"

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

class FloorPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FloorPropertyTest);
  CPPUNIT_TEST(TestHealthyCapacityNeverDropsBelowFloor);
  CPPUNIT_TEST(TestArbitraryObservationsKeepFloor);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Property P1: the usable slots stay at or above the floor under random faults,
  // flapping and drains over minutes.
  void TestHealthyCapacityNeverDropsBelowFloor() {
    CPPUNIT_ASSERT(rc::check("floor in a faulty fleet", [] {
      const auto count = static_cast<std::size_t>(*rc::gen::inRange(2, 12));
      const auto slots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4));
      const auto total = static_cast<std::uint32_t>(count) * slots;
      const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange<std::size_t>(0, total + 1));
      SimulatedFleet fleet(count, slots, floor, *rc::gen::arbitrary<std::uint64_t>());
      fleet.probes = *rc::gen::arbitrary<bool>();
      const auto check = [&fleet, floor] {
        std::uint32_t serving = 0;
        for (const SimulatedTarget& target : fleet.targets) {
          serving += target.leaving ? 0 : target.slots;
        }
        RC_ASSERT(fleet.UsableSlots() >= std::min(floor, serving));
      };
      fleet.after_tick = check;
      for (int step = 0; step < 8; ++step) {
        SimulatedTarget& target = fleet.targets[*rc::gen::inRange<std::size_t>(0, count)];
        switch (*rc::gen::inRange(0, 7)) {
          case 0:
            target.slow_factor = *rc::gen::element(1.0, 3.0, 10.0);
            break;
          case 1:
            target.error_rate = *rc::gen::element(0.0, 0.3, 1.0);
            break;
          case 2:
            target.down = !target.down;
            break;
          case 3:
            target.unreachable_from_domains = {
                SimulatedFleet::Domain(*rc::gen::inRange<std::size_t>(0, 3))};
            break;
          case 4:
            target.leaving = !target.leaving;
            fleet.Configure();
            check();
            break;
          case 5:
            target.wrong_rate = *rc::gen::element(0.0, 0.3, 1.0);
            break;
          default:
            target.slow_factor = 1.0;
            target.error_rate = 0.0;
            target.wrong_rate = 0.0;
            target.down = false;
            break;
        }
        fleet.Run(std::chrono::seconds(*rc::gen::inRange(1, 25)));
      }
    }));
  }

  // Property P1 for arbitrary observations, including results and orders that no real
  // fleet produces.
  void TestArbitraryObservationsKeepFloor() {
    CPPUNIT_ASSERT(rc::check("floor under arbitrary observations", [] {
      constexpr std::uint32_t kSlots = 2;
      const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
      const auto floor =
          static_cast<std::uint32_t>(*rc::gen::inRange<std::size_t>(0, 2 * count + 3));
      RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
      std::vector<HealthTarget> targets;
      for (std::size_t index = 0; index < count; ++index) {
        targets.push_back({TargetId{index}, kSlots, false});
      }
      ServiceHealth health;
      TimePoint now(1h);
      health.Configure(now, targets, floor);
      for (int step = 0; step < 2000; ++step) {
        now += Duration(random.Below(200'000));
        HealthObservation observation;
        observation.target = TargetId{random.Below(count + 1)};
        observation.reporter = HostId{random.Below(5)};
        observation.reporter_domain = DomainId{RawId(observation.reporter) % 3};
        observation.work_class = random.Below(4) == 0 ? WorkClass::kLong : WorkClass::kShort;
        // Targets with low ids fail more often.
        observation.result = random.Below(count + 1) > RawId(observation.target)
                                 ? static_cast<AttemptResult>(random.Below(9))
                                 : AttemptResult::kSuccess;
        observation.service_time = Duration(random.Below(5'000'000));
        observation.fingerprint = Fingerprint{random.Below(50)};
        observation.is_probe = random.Below(10) == 0;
        health.Observe(now, observation);
        if (random.Below(100) == 0) {
          targets[random.Below(count)].leaving ^= true;
          health.Configure(now, targets, floor);
        }
        if (random.Below(3) == 0) {
          health.Tick(now);
        }
        std::uint32_t usable = 0;
        std::uint32_t serving = 0;
        for (const HealthTarget& target : targets) {
          usable += health.Status(target.target).usable_slots;
          serving += target.leaving ? 0 : kSlots;
        }
        RC_ASSERT(usable >= std::min(floor, serving));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloorPropertyTest);

}  // namespace
}  // namespace pimentopin

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "Tests/LibMembership/simulated_fleet.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFirstSeed = 3000;
constexpr std::uint64_t kSeeds = 50;
constexpr std::size_t kHosts = 24;
// Interval at which targets write their rows.
constexpr Duration kHeartbeat = milliseconds(1500);
// The users' platform requires that a change is in force this long after the store confirmed it
// (drain-s), once the store has been stable for contact-s.
constexpr Duration kDrainTime = seconds(2);
constexpr Duration kContactTime = seconds(3);
constexpr Duration kStep = milliseconds(20);

// Tests what hosts believe after the store has come back from an older copy of itself, with kSeeds
// seeds each.
class ReturnedStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnedStoreTest);
  CPPUNIT_TEST(TestTargetThatLeavesAfterTheReturnIsUsed);
  CPPUNIT_TEST(TestTargetThatLeftBeforeTheReturnIsUsedAgain);
  CPPUNIT_TEST(TestTargetThatTheCopyLacksIsDropped);
  CPPUNIT_TEST(TestHostThatTheCopyLacksStaysUnregistered);
  CPPUNIT_TEST(TestSecondReturnIsMissed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a removal or departure that is ignored because the store gives out versions
  // again that the hosts have seen before the return.
  void TestTargetThatLeavesAfterTheReturnIsUsed() {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      Start(fleet);
      fleet.TakeStoreCopy();
      Run(fleet, seconds(5) + milliseconds(fleet.random.Below(5000)));
      Return(fleet);
      Run(fleet, kContactTime);
      fleet.RemoveTarget("gone");
      this->live.erase("gone");
      this->live["leaves"] = "draining";
      Beat(fleet);
      Run(fleet, kDrainTime);
      for (const HostId host : fleet.RunningHosts()) {
        CPPUNIT_ASSERT_MESSAGE("a removed target is used", !Uses(fleet, host, "gone"));
        CPPUNIT_ASSERT_MESSAGE("a draining target is used", !Uses(fleet, host, "leaves"));
        CPPUNIT_ASSERT(Uses(fleet, host, "stays"));
      }
    }
  }

  // Guards against work for targets that the hosts know to have left and that the copy still has.
  void TestTargetThatLeftBeforeTheReturnIsUsedAgain() {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      Start(fleet);
      fleet.TakeStoreCopy();
      Run(fleet, milliseconds(fleet.random.Below(3000)));
      fleet.RemoveTarget("gone");
      this->live.erase("gone");
      this->live["leaves"] = "draining";
      Beat(fleet);
      Run(fleet, kContactTime + milliseconds(fleet.random.Below(1500)));
      Return(fleet);
      // The row of the target that has left expires.
      for (Duration elapsed{}; elapsed < 3 * kHeartbeat; elapsed += kStep) {
        Run(fleet, kStep);
        for (const HostId host : fleet.RunningHosts()) {
          CPPUNIT_ASSERT_MESSAGE("a removed target is used again", !Uses(fleet, host, "gone"));
          CPPUNIT_ASSERT_MESSAGE("a draining target is used again", !Uses(fleet, host, "leaves"));
          CPPUNIT_ASSERT(Uses(fleet, host, "stays"));
        }
      }
      fleet.RemoveTarget("gone");
      Run(fleet, seconds(15));
      for (const HostId host : fleet.RunningHosts()) {
        CPPUNIT_ASSERT(!Uses(fleet, host, "gone"));
      }
    }
  }

  // Guards against healthy targets that are dropped until they write their rows again, and against
  // new ones that are not used afterwards.
  void TestTargetThatTheCopyLacksIsDropped() {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      Start(fleet);
      fleet.TakeStoreCopy();
      Run(fleet, seconds(1));
      this->live["new"] = "ready";
      Beat(fleet);
      Run(fleet, kContactTime + milliseconds(fleet.random.Below(1500)));
      Return(fleet);
      for (Duration elapsed{}; elapsed < 2 * kContactTime; elapsed += kStep) {
        Run(fleet, kStep);
        for (const HostId host : fleet.RunningHosts()) {
          CPPUNIT_ASSERT_MESSAGE("a target that is alive was dropped", Uses(fleet, host, "new"));
        }
      }
      this->live["later"] = "ready";
      Beat(fleet);
      Run(fleet, kDrainTime);
      for (const HostId host : fleet.RunningHosts()) {
        CPPUNIT_ASSERT(Uses(fleet, host, "later"));
      }
    }
  }

  // Guards against hosts that nobody knows any more because their registrations are lost.
  void TestHostThatTheCopyLacksStaysUnregistered() {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      fleet.TakeStoreCopy();
      Start(fleet);
      Return(fleet);
      Run(fleet, seconds(6));
      const std::vector<HostId> hosts = fleet.RunningHosts();
      for (const HostId observer : hosts) {
        for (const HostId subject : hosts) {
          CPPUNIT_ASSERT(fleet.ConsidersUsable(observer, subject));
        }
      }
      const HostId added = fleet.Start("added", 1'900'000'000'000);
      Run(fleet, seconds(6));
      for (const HostId subject : hosts) {
        CPPUNIT_ASSERT_MESSAGE("a host that started later does not know an earlier one",
                               fleet.ConsidersUsable(added, subject));
      }
    }
  }

  // Guards against a position of the first era that is taken for one of the third.
  void TestSecondReturnIsMissed() {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      Start(fleet);
      fleet.TakeStoreCopy();
      Run(fleet, seconds(3));
      Return(fleet);
      Run(fleet, milliseconds(fleet.random.Below(2000)));
      Return(fleet);
      Run(fleet, kContactTime);
      fleet.RemoveTarget("gone");
      this->live.erase("gone");
      Run(fleet, kDrainTime);
      for (const HostId host : fleet.RunningHosts()) {
        CPPUNIT_ASSERT(!Uses(fleet, host, "gone"));
      }
    }
  }

 private:
  void Start(SimulatedFleet& fleet) {
    this->live = {{"gone", "ready"}, {"leaves", "ready"}, {"stays", "ready"}};
    this->beats = 0;
    this->next_beat = fleet.now;
    this->Beat(fleet);
    fleet.StartHosts(kHosts);
    this->Run(fleet, seconds(8));
    for (const HostId host : fleet.RunningHosts()) {
      CPPUNIT_ASSERT(Uses(fleet, host, "gone"));
    }
  }

  // The store is away for a moment, and comes back. Targets write their rows at their next beat.
  void Return(SimulatedFleet& fleet) {
    fleet.store_up = false;
    fleet.RunFor(milliseconds(fleet.random.Below(500)));
    fleet.ReturnFromStoreCopy();
    fleet.store_up = true;
  }

  void Beat(SimulatedFleet& fleet) {
    ++this->beats;
    for (const auto& [name, state] : this->live) {
      fleet.WriteTarget(name, state + "#" + std::to_string(this->beats));
    }
    this->next_beat = fleet.now + kHeartbeat;
  }

  void Run(SimulatedFleet& fleet, Duration duration) {
    const TimePoint end = fleet.now + duration;
    while (fleet.now < end) {
      if (fleet.now >= this->next_beat) {
        this->Beat(fleet);
      }
      fleet.RunFor(std::min(end, this->next_beat) - fleet.now);
    }
  }

  static bool Uses(SimulatedFleet& fleet, HostId host, const std::string& target) {
    const auto& targets = fleet.GetHost(host).targets;
    const auto found = targets.find(target);
    return found != targets.end() && found->second == "ready";
  }

  // States of the targets that write their rows.
  std::map<std::string, std::string> live;
  std::uint64_t beats = 0;
  TimePoint next_beat;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnedStoreTest);

}  // namespace
}  // namespace pimentopin

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "Tests/LibMembership/simulated_fleet.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 20;
constexpr std::size_t kHosts = 12;
// As hosts choose it for the revocation time.
constexpr Duration kPollTimeout = SimulatedFleet::kRevocationTime / 8;

class KeyLeaseFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyLeaseFleetTest);
  CPPUNIT_TEST(TestWithdrawnKeyIsAcceptedNowhereAfterTheRevocationTime);
  CPPUNIT_TEST(TestHealthyHostsAcceptKeysAllTheWhile);
  CPPUNIT_TEST(TestHostWithoutContactAcceptsKeysForPartOfTheRevocationTime);
  CPPUNIT_TEST(TestHostsCutOffFromTheStoreAcceptKeysByDigests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that decides on keys by a configuration that was replaced in the store
  // more than the revocation time ago, whatever fails meanwhile.
  void TestWithdrawnKeyIsAcceptedNowhereAfterTheRevocationTime() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      this->StartFleet(fleet);
      fleet.loss_rate = 0.1;
      TimePoint next_change = fleet.now;
      TimePoint next_fault = fleet.now;
      std::map<std::uint64_t, TimePoint> replaced_at;
      std::uint64_t revision = 1;
      bool accepted_somewhere = false;
      while (fleet.now < TimePoint(seconds(90))) {
        if (fleet.now >= next_change) {
          replaced_at[revision] = fleet.now;
          fleet.CommitToStore(++revision);
          next_change = fleet.now + RandomDuration(fleet, seconds(12));
        }
        if (fleet.now >= next_fault) {
          this->ChangeFaults(fleet);
          next_fault = fleet.now + RandomDuration(fleet, seconds(3));
        }
        for (const HostId host : fleet.RunningHosts()) {
          const auto& adopted = fleet.GetHost(host).adopted_revisions;
          const bool accepts = fleet.AcceptsKeys(host);
          accepted_somewhere = accepted_somewhere || accepts;
          const auto replaced =
              adopted.empty() ? replaced_at.end() : replaced_at.find(adopted.back());
          CPPUNIT_ASSERT_MESSAGE(
              "seed " + std::to_string(seed),
              !accepts || replaced == replaced_at.end() ||
                  fleet.now - replaced->second <= SimulatedFleet::kRevocationTime);
        }
        fleet.RunFor(milliseconds(20));
      }
      CPPUNIT_ASSERT(accepted_somewhere);
    }
  }

  // Guards against refusals by hosts in contact while configurations change.
  void TestHealthyHostsAcceptKeysAllTheWhile() {
    SimulatedFleet fleet(1);
    this->StartFleet(fleet);
    for (std::uint64_t revision = 2; revision < 12; ++revision) {
      fleet.CommitToStore(revision);
      for (int step = 0; step < 100; ++step) {
        fleet.RunFor(milliseconds(20));
        CPPUNIT_ASSERT(this->AllAcceptKeys(fleet));
      }
    }
  }

  // Guards against a host that refuses keys soon after it has lost all contact.
  void TestHostWithoutContactAcceptsKeysForPartOfTheRevocationTime() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      this->StartFleet(fleet);
      fleet.RunFor(RandomDuration(fleet, seconds(2)));
      const HostId cut = fleet.RandomHost();
      fleet.unanswered_hosts.insert(cut);
      fleet.message_filter = [cut](HostId from, HostId to, const Message&) {
        return from != cut && to != cut;
      };
      const TimePoint cut_at = fleet.now;
      const auto elapsed = fleet.RunUntil([&] { return !fleet.AcceptsKeys(cut); }, seconds(6));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), elapsed.has_value());
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), *elapsed >= seconds(3));
      CPPUNIT_ASSERT(fleet.now - cut_at <= SimulatedFleet::kRevocationTime);
    }
  }

  // Guards against hosts that need their own connection to the store.
  void TestHostsCutOffFromTheStoreAcceptKeysByDigests() {
    SimulatedFleet fleet(1);
    this->StartFleet(fleet);
    const std::vector<HostId> hosts = fleet.RunningHosts();
    for (std::size_t index = 1; index < hosts.size(); ++index) {
      fleet.unanswered_hosts.insert(hosts[index]);
    }
    fleet.RunFor(seconds(20));
    CPPUNIT_ASSERT(this->AllAcceptKeys(fleet));
  }

 private:
  static Duration RandomDuration(SimulatedFleet& fleet, Duration limit) {
    return Duration(
        static_cast<Duration::rep>(fleet.random.Below(static_cast<std::uint64_t>(limit.count()))));
  }

  void StartFleet(SimulatedFleet& fleet) const {
    fleet.has_revocation_time = true;
    fleet.long_polls = true;
    fleet.configuration_poll_timeout = kPollTimeout;
    fleet.CommitToStore(1);
    fleet.StartHosts(kHosts);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return this->AllAcceptKeys(fleet); }, seconds(10)));
  }

  bool AllAcceptKeys(const SimulatedFleet& fleet) const {
    for (const HostId host : fleet.RunningHosts()) {
      if (!fleet.AcceptsKeys(host)) {
        return false;
      }
    }
    return true;
  }

  // Pauses, cuts off, restarts or heals a random host, or changes the state of the store.
  void ChangeFaults(SimulatedFleet& fleet) const {
    const HostId host = fleet.RandomHost();
    switch (fleet.random.Below(6)) {
      case 0:
        if (fleet.GetHost(host).paused) {
          fleet.Resume(host);
        } else {
          fleet.Pause(host);
        }
        break;
      case 1:
        fleet.store_up = !fleet.store_up;
        break;
      case 2:
        fleet.unanswered_hosts.insert(host);
        break;
      case 3:
        fleet.cut_paths.insert({host, fleet.RandomHost()});
        break;
      case 4: {
        const std::string name = fleet.GetHost(host).directory.self().name;
        const std::uint64_t incarnation = fleet.GetHost(host).directory.self().incarnation;
        fleet.Stop(host);
        fleet.Start(name, incarnation + 1);
        break;
      }
      default:
        fleet.unanswered_hosts.clear();
        fleet.cut_paths.clear();
        fleet.store_up = true;
        break;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyLeaseFleetTest);

}  // namespace
}  // namespace pimentopin

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "Tests/LibDispatch/fleet_simulation.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

OrganisationId Organisation(int index) {
  return IdFromName<OrganisationId>("organisation-" + std::to_string(index));
}

std::string FirstViolations(const FleetSimulation& fleet) {
  std::string text;
  for (std::size_t index = 0; index < std::min<std::size_t>(fleet.violations().size(), 5);
       ++index) {
    text += fleet.violations()[index] + "; ";
  }
  return text;
}

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(TestInvariantsHoldUnderRandomFaults);
  CPPUNIT_TEST(TestBaselinesKeepInvariantsWithoutBroker);
  CPPUNIT_TEST(TestFloodingOrganisationDoesNotTakeSharesOfOthers);
  CPPUNIT_TEST(TestLongWorkIsBoundedAndFinishes);
  CPPUNIT_TEST(TestRetriesStayWithinBudget);
  CPPUNIT_TEST(TestRequestsAreServedWithoutBroker);
  CPPUNIT_TEST(TestOverloadKeepsGoodput);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against every violation of the outcome rules: a false not-run
  // outcome, a second run of non-idempotent work, missing or repeated ends,
  // starts after the deadline or at leaving targets, and slots or queue entries
  // that the broker never frees.
  void TestInvariantsHoldUnderRandomFaults() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      FleetSimulation fleet(FaultySettings(seed, DispatchPolicy::kBrokered));
      this->RunWithFaults(fleet, seed);
    }
  }

  // Guards against baseline policies that violate the outcome rules or use a
  // broker.
  void TestBaselinesKeepInvariantsWithoutBroker() {
    for (const DispatchPolicy policy :
         {DispatchPolicy::kLeastOutstanding, DispatchPolicy::kRandom}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation fleet(FaultySettings(seed, policy));
        this->RunWithFaults(fleet, seed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.claims());
      }
    }
  }

  // Guards against a queue order or queue limit with which an organisation that
  // sends ten times the capacity takes the slots of the others.
  void TestFloodingOrganisationDoesNotTakeSharesOfOthers() {
    FleetSimulation fleet({.seed = 3});
    // The capacity is 18 slots / 20 ms = 900 requests/s, or 300 requests/s for
    // each of the three organisations.
    fleet.AddLoad(
        {.organisation = Organisation(0), .requests_per_second = 9000, .until = seconds(6)});
    for (int index = 1; index <= 2; ++index) {
      fleet.AddLoad(
          {.organisation = Organisation(index), .requests_per_second = 400, .until = seconds(6)});
    }
    fleet.RunUntil(seconds(10));
    std::map<OrganisationId, double> served;
    double total = 0;
    for (const auto& [id, request] : fleet.observed()) {
      if (request.started_at >= TimePoint(seconds(1)) &&
          request.finish.outcome == Outcome::kTarget) {
        served[request.description.organisation] += 1;
        total += 1;
      }
    }
    CPPUNIT_ASSERT(total > 0.9 * 900 * 5);
    for (int index = 0; index <= 2; ++index) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, served[Organisation(index)] / total, 0.1 / 3);
    }
    CPPUNIT_ASSERT_MESSAGE(FirstViolations(fleet), fleet.violations().empty());
  }

  // Guards against long work that occupies every slot, and against a limit that
  // starves it.
  void TestLongWorkIsBoundedAndFinishes() {
    FleetSimulation fleet({.seed = 4});
    // Load of 0.7 x 18 slots. Long work is 2 % of the requests and 38 % of the
    // load.
    fleet.AddLoad({.organisation = Organisation(0),
                   .requests_per_second = 0.7 * 18 / 0.0316,
                   .long_fraction = 0.02,
                   .deadline = seconds(20),
                   .until = seconds(30)});
    // A surge of long work that would occupy every slot without a limit.
    fleet.AddLoad({.organisation = Organisation(1),
                   .requests_per_second = 100,
                   .long_fraction = 1,
                   .deadline = seconds(20),
                   .from = seconds(15),
                   .until = seconds(15) + milliseconds(500)});
    fleet.RunUntil(seconds(60));
    std::vector<Duration> short_times;
    std::size_t long_count = 0;
    std::size_t long_complete = 0;
    for (const auto& [id, request] : fleet.observed()) {
      if (request.description.work_class == WorkClass::kLong) {
        ++long_count;
        long_complete += request.finish.outcome == Outcome::kTarget ? 1 : 0;
      } else if (request.started_at > TimePoint(seconds(5))) {
        short_times.push_back(request.finished_at - request.started_at);
      }
    }
    std::sort(short_times.begin(), short_times.end());
    const Duration p99 = short_times[short_times.size() * 99 / 100];
    CPPUNIT_ASSERT(fleet.max_concurrent_long() < 18);
    CPPUNIT_ASSERT_MESSAGE(
        "long " + std::to_string(long_complete) + " of " + std::to_string(long_count),
        long_complete >= long_count * 99 / 100);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(p99.count()), p99 < milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE(FirstViolations(fleet), fleet.violations().empty());
  }

  // Guards against retries that amplify an overload: with 30 % server errors,
  // about every third idempotent request would be retried without a budget.
  void TestRetriesStayWithinBudget() {
    FleetSettings settings{.seed = 5};
    settings.faults.server_error = 0.3;
    FleetSimulation fleet(settings);
    fleet.AddLoad({.organisation = Organisation(0),
                   .requests_per_second = 400,
                   .idempotent_fraction = 1,
                   .until = seconds(20)});
    fleet.RunUntil(seconds(25));
    double first = 0;
    double retries = 0;
    for (const auto& [id, request] : fleet.observed()) {
      first += request.starts > 0 ? 1 : 0;
      retries += request.starts > 1 ? static_cast<double>(request.starts - 1) : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retries / first), retries <= 0.09 * first);
    CPPUNIT_ASSERT(retries >= 0.04 * first);
    CPPUNIT_ASSERT_MESSAGE(FirstViolations(fleet), fleet.violations().empty());
  }

  // Guards against a service that fails without a broker. With both candidates
  // unavailable, hosts continue within the fallback limit, and return when a
  // broker is available.
  void TestRequestsAreServedWithoutBroker() {
    FleetSimulation fleet({.seed = 6});
    fleet.AddLoad(
        {.organisation = Organisation(0), .requests_per_second = 200, .until = seconds(12)});
    fleet.At(seconds(3), [&fleet] {
      for (int index = 0; index < 8; ++index) {
        fleet.DisconnectBroker(IdFromName<HostId>("host-" + std::to_string(index)));
      }
    });
    fleet.At(seconds(8), [&fleet] {
      for (int index = 0; index < 8; ++index) {
        fleet.ReconnectBroker(IdFromName<HostId>("host-" + std::to_string(index)));
      }
    });
    fleet.RunUntil(seconds(20));
    std::size_t complete = 0;
    for (const auto& [id, request] : fleet.observed()) {
      complete += request.finish.outcome == Outcome::kTarget ? 1 : 0;
    }
    CPPUNIT_ASSERT(complete >= fleet.observed().size() * 99 / 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.broker_outstanding());
    CPPUNIT_ASSERT_MESSAGE(FirstViolations(fleet), fleet.violations().empty());
  }

  // Guards against work for callers whose deadline has passed, and against
  // hosts that consider a saturated broker failed.
  void TestOverloadKeepsGoodput() {
    FleetSimulation fleet({.seed = 7});
    fleet.AddLoad({.organisation = Organisation(0),
                   .requests_per_second = 2700,
                   .deadline = milliseconds(150),
                   .until = seconds(5)});
    fleet.RunUntil(seconds(8));
    std::size_t complete = 0;
    for (const auto& [id, request] : fleet.observed()) {
      if (request.finish.outcome == Outcome::kTarget) {
        complete += request.started_at > TimePoint(seconds(1)) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(complete / 4.0 / 900), complete >= 0.95 * 900 * 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.broker_count());
    CPPUNIT_ASSERT_MESSAGE(FirstViolations(fleet), fleet.violations().empty());
  }

 private:
  static FleetSettings FaultySettings(std::uint64_t seed, DispatchPolicy policy) {
    RandomSource random(seed);
    const auto up_to = [&random](double max) { return random.Unit() * max; };
    FleetSettings settings{.seed = seed, .policy = policy};
    settings.faults = {.message_loss = up_to(0.2),
                       .message_duplication = up_to(0.2),
                       .message_delay = Duration(1 + random.Below(40000)),
                       .pause = up_to(0.1),
                       .longest_pause = milliseconds(3000),
                       .connect_failure = up_to(0.1),
                       .connection_lost = up_to(0.1),
                       .server_error = up_to(0.1),
                       .shed = up_to(0.1),
                       .wrong_answer = up_to(0.1),
                       .truncated = up_to(0.05),
                       .early_end = 0.5};
    return settings;
  }

  static void RunWithFaults(FleetSimulation& fleet, std::uint64_t seed) {
    const double load = 200.0 + 200.0 * static_cast<double>(seed % 6);
    for (int index = 0; index < 3; ++index) {
      fleet.AddLoad({.organisation = Organisation(index),
                     .requests_per_second = load / 3,
                     .long_fraction = 0.01,
                     .idempotent_fraction = 0.5,
                     .deadline = milliseconds(300 + 200 * index),
                     .until = seconds(6)});
    }
    fleet.At(seconds(2), [&fleet] { fleet.SetLeaving(0); });
    fleet.At(seconds(6), [&fleet] { fleet.EndFaults(); });
    fleet.RunUntil(seconds(16));
    const std::string context = "seed " + std::to_string(seed) + ": ";
    CPPUNIT_ASSERT_MESSAGE(context + FirstViolations(fleet), fleet.violations().empty());
    std::size_t complete = 0;
    for (const auto& [id, request] : fleet.observed()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(context + "number of ends of a request", std::size_t{1},
                                   request.finishes);
      complete += request.finish.outcome == Outcome::kTarget ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(context + "too few completed requests", complete > 100);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{0}, fleet.requests_in_progress());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context + "held slots", std::size_t{0},
                                 fleet.broker_outstanding());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context + "queue entries", std::size_t{0}, fleet.broker_queued());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
}  // namespace pimentopin

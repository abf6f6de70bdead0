#include "Bench/Simulation/workload.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pimentopin::bench {
namespace {

using namespace std::chrono_literals;

class WorkloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkloadTest);
  CPPUNIT_TEST(TestRateChangesAtStep);
  CPPUNIT_TEST(TestSharesMatchSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gap that is drawn at a low rate and extends into a period with a
  // high rate.
  void TestRateChangesAtStep() {
    EventQueue events;
    const TimePoint start = events.now();
    std::map<int, int> per_second;
    WorkloadSettings settings;
    settings.requests_per_second = 1000;
    settings.steps = {{0s, 0.0}, {2s, 3.0}, {3s, 1.0}};
    settings.duration = 5s;
    Workload workload(events, settings, 7, [&](const WorkloadArrival&) {
      ++per_second[static_cast<int>((events.now() - start) / 1s)];
    });
    workload.Start();
    events.RunUntil(start + 10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, per_second.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3000, per_second[2], 200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, per_second[3], 120);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, per_second[4], 120);
  }

  // Guards against shares of organisations and of long work that differ from the
  // settings.
  void TestSharesMatchSettings() {
    EventQueue events;
    std::map<OrganisationId, int> organisations;
    int long_requests = 0;
    WorkloadSettings settings;
    settings.requests_per_second = 1000;
    settings.organisations = {{OrganisationId{1}, 3.0}, {OrganisationId{2}, 1.0}};
    settings.long_share = 0.02;
    settings.duration = 100s;
    Workload workload(events, settings, 8, [&](const WorkloadArrival& arrival) {
      ++organisations[arrival.organisation];
      long_requests += arrival.work_class == WorkClass::kLong ? 1 : 0;
    });
    workload.Start();
    events.RunUntil(events.now() + 100s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(75'000, organisations[OrganisationId{1}], 1500);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(25'000, organisations[OrganisationId{2}], 1000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, long_requests, 250);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkloadTest);

}  // namespace
}  // namespace pimentopin::bench

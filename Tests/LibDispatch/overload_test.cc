#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <string>

#include "Tests/LibDispatch/fleet_simulation.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kObjective = milliseconds(800);
constexpr Duration kDeadline = seconds(3);
// 20 targets with 3 slots and 200 ms of work.
constexpr double kCapacityPerS = 300;
constexpr RequestKind kUrgent{1};
constexpr RequestKind kUsual{2};
constexpr RequestKind kDeferrable{3};

// What callers have seen of some requests.
struct Experience {
  double requests = 0;
  double served = 0;
  double on_time = 0;
  // Requests refused later than an eighth of the objective.
  double refused_late = 0;

  double served_share() const { return this->served / this->requests; }
  double on_time_share() const { return this->on_time / this->requests; }
  double refused_late_share() const { return this->refused_late / this->requests; }
};

using Filter = std::function<bool(const ObservedRequest&)>;

Experience ExperienceOf(
    const FleetSimulation& fleet,
    Duration from,
    Duration until,
    const Filter& filter = [](const ObservedRequest&) { return true; }) {
  Experience result;
  for (const auto& [id, request] : fleet.observed()) {
    const Duration sent = request.started_at.time_since_epoch();
    if (sent < from || sent >= until || !filter(request)) {
      continue;
    }
    const Duration waited = request.finished_at - request.started_at;
    const bool served = request.finish.outcome == Outcome::kTarget;
    result.requests += 1;
    result.served += served ? 1 : 0;
    result.on_time += served && waited <= kObjective ? 1 : 0;
    result.refused_late += !served && waited > kObjective / 8 ? 1 : 0;
  }
  return result;
}

Filter OfKind(RequestKind kind) {
  return [kind](const ObservedRequest& request) { return request.description.kind == kind; };
}

std::string Describe(const std::string& name, const Experience& experience) {
  return name + ": served " + std::to_string(experience.served_share()) + ", on time " +
         std::to_string(experience.on_time_share()) + ", refused late " +
         std::to_string(experience.refused_late_share()) + "; ";
}

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(TestBurstOfAnUsualKindDelaysUrgentRequests);
  CPPUNIT_TEST(TestBurstOfTheMostUrgentKindStarvesOthers);
  CPPUNIT_TEST(TestHotOrganisationMakesOthersLate);
  CPPUNIT_TEST(TestHalfCapacityStarvesAKind);
  CPPUNIT_TEST(TestWaveMakesMostResponsesLate);
  CPPUNIT_TEST(TestReturnsAfterRefusalsComeTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: 2.3 times the usual requests of the middle priority for 5 s.
  void TestBurstOfAnUsualKindDelaysUrgentRequests() {
    FleetSimulation fleet(Settings(1));
    AddKinds(fleet, 0.8 * kCapacityPerS, seconds(0), seconds(20));
    AddKind(fleet, kUsual, 1.3 * 0.5 * 0.8 * kCapacityPerS, seconds(8), seconds(13));
    fleet.RunUntil(seconds(25));
    const Experience urgent = ExperienceOf(fleet, seconds(8), seconds(13), OfKind(kUrgent));
    CPPUNIT_ASSERT_MESSAGE(Describe("urgent", urgent), urgent.on_time_share() > 0.95);
    CheckNoKindStarves(fleet, seconds(8), seconds(13));
    CheckMostResponsesAreOnTime(fleet, seconds(8), seconds(13));
    CheckRefusedSoon(fleet, seconds(8), seconds(13));
  }

  // Load: 2.3 times the usual requests of the most urgent priority, more than the service can
  // serve.
  void TestBurstOfTheMostUrgentKindStarvesOthers() {
    FleetSimulation fleet(Settings(2));
    AddKinds(fleet, 0.8 * kCapacityPerS, seconds(0), seconds(8));
    AddKind(fleet, kUrgent, 2.3 * 0.6 * kCapacityPerS, seconds(8), seconds(13));
    AddKind(fleet, kUsual, 0.4 * kCapacityPerS, seconds(8), seconds(13));
    AddKind(fleet, kDeferrable, 0.1 * kCapacityPerS, seconds(8), seconds(13));
    fleet.RunUntil(seconds(20));
    const Experience urgent = ExperienceOf(fleet, seconds(8), seconds(13), OfKind(kUrgent));
    const Experience usual = ExperienceOf(fleet, seconds(8), seconds(13), OfKind(kUsual));
    CPPUNIT_ASSERT_MESSAGE(Describe("urgent", urgent) + Describe("usual", usual),
                           urgent.served_share() > 1.5 * usual.served_share());
    CheckNoKindStarves(fleet, seconds(8), seconds(13));
    CheckMostResponsesAreOnTime(fleet, seconds(8), seconds(13));
    CheckRefusedSoon(fleet, seconds(8), seconds(13));
  }

  // Load: one organisation sends 6.4 times its usual for 6 s beside 71 others.
  void TestHotOrganisationMakesOthersLate() {
    FleetSimulation fleet(Settings(3));
    const OrganisationId hot{1};
    for (std::uint64_t index = 1; index <= 72; ++index) {
      AddKind(fleet, kUsual, index == 1 ? 60 : 2.5, seconds(0), seconds(20), OrganisationId{index});
    }
    AddKind(fleet, kUsual, 5.4 * 60, seconds(8), seconds(14), hot);
    fleet.RunUntil(seconds(25));
    const Experience all = ExperienceOf(fleet, seconds(8), seconds(14));
    const auto of_hot = [hot](const ObservedRequest& request) {
      return request.description.organisation == hot;
    };
    const Experience hot_one = ExperienceOf(fleet, seconds(8), seconds(14), of_hot);
    const Experience others = ExperienceOf(fleet, seconds(8), seconds(14),
                                           [&](const auto& item) { return !of_hot(item); });
    const std::string text = Describe("hot", hot_one) + Describe("others", others);
    CPPUNIT_ASSERT_MESSAGE(text, others.on_time_share() > 0.95);
    CPPUNIT_ASSERT_MESSAGE(text, hot_one.served_share() > all.served_share() / 4);
    CheckRefusedSoon(fleet, seconds(8), seconds(14));
  }

  // Load: all targets at half of their speed for 8 s, while demand is 1.2 times the usual.
  void TestHalfCapacityStarvesAKind() {
    FleetSimulation fleet(Settings(4));
    AddKinds(fleet, 0.75 * kCapacityPerS, seconds(0), seconds(8));
    AddKinds(fleet, 1.2 * 0.75 * kCapacityPerS, seconds(8), seconds(16));
    fleet.At(seconds(8), [&fleet] { fleet.SetSlowdown(2); });
    fleet.At(seconds(16), [&fleet] { fleet.SetSlowdown(1); });
    fleet.RunUntil(seconds(25));
    const Experience urgent = ExperienceOf(fleet, seconds(8), seconds(16), OfKind(kUrgent));
    CPPUNIT_ASSERT_MESSAGE(Describe("urgent", urgent), urgent.served_share() > 0.95);
    CheckNoKindStarves(fleet, seconds(8), seconds(16));
    CheckRefusedSoon(fleet, seconds(9), seconds(16));
  }

  // Load: demand rises and falls by 55 % around the mean, above the capacity at its height.
  void TestWaveMakesMostResponsesLate() {
    FleetSimulation fleet(Settings(5));
    for (int step = 0; step < 40; ++step) {
      const double phase = 2 * std::numbers::pi * step / 20;
      AddKinds(fleet, 0.85 * kCapacityPerS * (1 + 0.55 * std::sin(phase)), milliseconds(500) * step,
               milliseconds(500) * (step + 1));
    }
    fleet.RunUntil(seconds(25));
    const Experience all = ExperienceOf(fleet, seconds(0), seconds(20));
    const Experience urgent = ExperienceOf(fleet, seconds(0), seconds(20), OfKind(kUrgent));
    CPPUNIT_ASSERT_MESSAGE(Describe("urgent", urgent), urgent.on_time_share() > 0.95);
    CPPUNIT_ASSERT_MESSAGE(Describe("all", all), all.on_time_share() > 0.8);
    CheckNoKindStarves(fleet, seconds(0), seconds(20));
    CheckMostResponsesAreOnTime(fleet, seconds(0), seconds(20));
    CheckRefusedSoon(fleet, seconds(0), seconds(20));
  }

  // Load: refused callers that all return when they are told to. Each tenth of a second may get
  // twice its share of them.
  void TestReturnsAfterRefusalsComeTogether() {
    FleetSimulation fleet(Settings(6));
    AddKinds(fleet, 2 * kCapacityPerS, seconds(0), seconds(5));
    fleet.RunUntil(seconds(10));
    std::map<std::int64_t, int> returns;
    int refused = 0;
    for (const auto& [id, request] : fleet.observed()) {
      if (request.finish.refusal != RefusalReason::kOverload ||
          request.started_at < TimePoint(seconds(3)) ||
          request.started_at >= TimePoint(milliseconds(3100))) {
        continue;
      }
      ++refused;
      CPPUNIT_ASSERT(request.finish.retry_after > Duration::zero());
      ++returns[(request.finish.retry_after) / milliseconds(100)];
    }
    CPPUNIT_ASSERT(refused > 15);
    for (const auto& [time, count] : returns) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " of " + std::to_string(refused),
                             count <= refused / 2);
    }
  }

 private:
  static FleetSettings Settings(std::uint64_t seed) {
    return {.seed = seed,
            .hosts = 8,
            .targets = 20,
            .slots = 3,
            .short_service = milliseconds(200),
            .broker = {.by_priority = true},
            .objectives = {{kUrgent, kObjective}, {kUsual, kObjective}, {kDeferrable, kObjective}}};
  }

  static void AddKind(FleetSimulation& fleet,
                      RequestKind kind,
                      double per_s,
                      Duration from,
                      Duration until,
                      OrganisationId organisation = OrganisationId{1}) {
    fleet.AddLoad({.organisation = organisation,
                   .requests_per_second = per_s,
                   .deadline = kDeadline,
                   .priority = static_cast<std::uint32_t>(RawId(kind)) - 1,
                   .kind = kind,
                   .from = from,
                   .until = until});
  }

  // 0.35, 0.5 and 0.15 of the requests have the three priorities.
  static void AddKinds(FleetSimulation& fleet, double per_s, Duration from, Duration until) {
    AddKind(fleet, kUrgent, 0.35 * per_s, from, until);
    AddKind(fleet, kUsual, 0.5 * per_s, from, until);
    AddKind(fleet, kDeferrable, 0.15 * per_s, from, until);
  }

  static void CheckNoKindStarves(const FleetSimulation& fleet, Duration from, Duration until) {
    const Experience all = ExperienceOf(fleet, from, until);
    for (const RequestKind kind : {kUrgent, kUsual, kDeferrable}) {
      const Experience one = ExperienceOf(fleet, from, until, OfKind(kind));
      CPPUNIT_ASSERT_MESSAGE(
          Describe("all", all) + Describe("kind " + std::to_string(RawId(kind)), one),
          one.served_share() > all.served_share() / 4);
    }
  }

  static void CheckMostResponsesAreOnTime(const FleetSimulation& fleet,
                                          Duration from,
                                          Duration until) {
    const Experience all = ExperienceOf(fleet, from, until);
    CPPUNIT_ASSERT_MESSAGE(Describe("all", all), all.on_time > 0.8 * all.served);
  }

  static void CheckRefusedSoon(const FleetSimulation& fleet, Duration from, Duration until) {
    const Experience all = ExperienceOf(fleet, from, until);
    CPPUNIT_ASSERT_MESSAGE(Describe("all", all), all.refused_late_share() < 0.05);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibDispatch/target_work.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "Libraries/LibDispatch/slot_broker.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr HostId kHost{1};
constexpr DomainId kDomain{1};
constexpr ServiceId kService{7};
constexpr RequestKind kShortKind{1};
constexpr RequestKind kLongKind{2};
constexpr Duration kShortWork = milliseconds(100);
constexpr Duration kLongWork = milliseconds(1500);

// A broker that places by expected completion, with targets whose attempts end as a test says.
class TargetWorkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetWorkTest);
  CPPUNIT_TEST(TestLongRequestBlocksShortOnes);
  CPPUNIT_TEST(TestSlowTargetGetsAsMuchAsFastOnes);
  CPPUNIT_TEST(TestSlowTargetStaysSlowAfterItHasRecovered);
  CPPUNIT_TEST(TestAllTargetsSlowMakesOneLookSlow);
  CPPUNIT_TEST(TestLoadHeaderThatLiesKeepsWorkAway);
  CPPUNIT_TEST(TestLoadOfOtherBrokersIsIgnored);
  CPPUNIT_TEST(TestShortRequestIsRefusedForTheWorkOfLongOnes);
  CPPUNIT_TEST(TestRequestIsBoundToATargetWithoutASlotForLong);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->Start(2, 1); }

  // Both targets are full; the long request at target 1 has just begun, the short one at target 2
  // is nearly done.
  void TestLongRequestBlocksShortOnes() {
    this->Learn();
    this->ClaimAt(TargetId{1}, 501, kLongKind);
    this->ClaimAt(TargetId{2}, 502, kShortKind);
    this->now += milliseconds(90);
    CPPUNIT_ASSERT(this->Request(503, kShortKind) == TargetId{2});
  }

  void TestSlowTargetGetsAsMuchAsFastOnes() {
    this->Start(4, 4);
    this->Learn();
    const std::map<TargetId, int> counts = this->Replay(400, 4.0);
    CPPUNIT_ASSERT(counts.at(TargetId{1}) * 8 < counts.at(TargetId{2}));
    CPPUNIT_ASSERT(counts.at(TargetId{1}) > 0);
  }

  void TestSlowTargetStaysSlowAfterItHasRecovered() {
    this->Start(4, 4);
    this->Learn();
    this->Replay(400, 4.0);
    this->Replay(2000, 1.0);
    const std::map<TargetId, int> counts = this->Replay(400, 1.0);
    CPPUNIT_ASSERT(counts.at(TargetId{1}) > 50);
  }

  void TestAllTargetsSlowMakesOneLookSlow() {
    TargetWork work;
    for (int index = 0; index < 300; ++index) {
      const SlotHolder holder{.target = TargetId{1 + static_cast<std::uint64_t>(index) % 3},
                              .expected_run = milliseconds(100)};
      work.RecordEnd(this->now, holder, AttemptResult::kSuccess, milliseconds(300));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, work.Slowness(this->now, TargetId{1}), 0.01);
  }

  // Target 1 claims that it is full, and serves at once all the same.
  void TestLoadHeaderThatLiesKeepsWorkAway() {
    this->Start(2, 4);
    this->Learn();
    this->stated_load = TargetLoad{.running = 4, .waiting = 20, .slots = 4};
    this->Replay(400, 1.0);
    const std::map<TargetId, int> counts = this->Replay(400, 1.0);
    CPPUNIT_ASSERT(counts.contains(TargetId{1}));
    CPPUNIT_ASSERT(counts.at(TargetId{1}) > 100);
  }

  void TestLoadOfOtherBrokersIsIgnored() {
    this->Start(2, 4);
    this->Learn();
    const TargetId first = *this->Request(501, kShortKind);
    this->stating_target = first;
    this->stated_load = TargetLoad{.running = 4, .waiting = 4, .slots = 4};
    this->Release(501, first, kShortKind, kShortWork);
    for (std::uint64_t attempt = 502; attempt < 505; ++attempt) {
      CPPUNIT_ASSERT(this->Request(attempt, kShortKind) != first);
    }
  }

  // The mean of their route exceeds the budget, the mean of requests like this one does not.
  void TestShortRequestIsRefusedForTheWorkOfLongOnes() {
    this->one_route = true;
    this->Learn();
    this->ClaimAt(TargetId{1}, 501, kLongKind);
    CPPUNIT_ASSERT(this->Request(502, kShortKind, milliseconds(250)) == TargetId{2});
  }

  void TestRequestIsBoundToATargetWithoutASlotForLong() {
    this->Learn();
    this->ClaimAt(TargetId{1}, 501, kLongKind);
    this->ClaimAt(TargetId{2}, 502, kLongKind);
    CPPUNIT_ASSERT(!this->Request(503, kShortKind));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->broker->queued());
  }

 private:
  void Start(std::uint64_t targets, std::uint32_t slots) {
    BrokerConfiguration configuration{.service = kService, .floor_slots = 1, .queue_limit = 100};
    for (std::uint64_t index = 1; index <= targets; ++index) {
      configuration.targets.push_back({.target = TargetId{index}, .slots = slots});
    }
    this->broker = std::make_unique<SlotBroker>(
        configuration, BrokerPolicy{.placement = Placement::kExpectedCompletion});
    this->target_count = targets;
    this->stated_load.reset();
  }

  // Lets the broker see the work of both kinds at targets of the same speed.
  void Learn() {
    for (std::uint64_t index = 0; index < 200; ++index) {
      const TargetId target{1 + index % this->target_count};
      const RequestKind kind = index % 4 < 2 ? kShortKind : kLongKind;
      this->ClaimAt(target, 1000 + index, kind);
      this->now += milliseconds(5);
      this->Release(1000 + index, target, kind, kind == kShortKind ? kShortWork : kLongWork);
    }
    this->now += seconds(3);
  }

  // Sends short requests every 20 ms. Target 1 takes `slowness` times as long as the others.
  std::map<TargetId, int> Replay(int requests, double slowness) {
    std::map<TargetId, int> counts;
    struct Running {
      std::uint64_t attempt = 0;
      TargetId target{};
      Duration work{};
    };
    std::multimap<TimePoint, Running> running;
    for (int count = 0; count < requests; ++count) {
      this->now += milliseconds(20);
      while (!running.empty() && running.begin()->first <= this->now) {
        const Running ended = running.begin()->second;
        running.erase(running.begin());
        this->Release(ended.attempt, ended.target, kShortKind, ended.work);
      }
      const std::uint64_t attempt = this->next_attempt++;
      if (const std::optional<TargetId> target = this->Request(attempt, kShortKind)) {
        ++counts[*target];
        const Duration work(static_cast<Duration::rep>(static_cast<double>(kShortWork.count()) *
                                                       (*target == TargetId{1} ? slowness : 1.0)));
        running.emplace(this->now + work, Running{attempt, *target, work});
      }
      this->broker->Tick(this->now);
    }
    for (const auto& [at, ended] : running) {
      this->Release(ended.attempt, ended.target, kShortKind, ended.work);
    }
    return counts;
  }

  void ClaimAt(TargetId target, std::uint64_t attempt, RequestKind kind) {
    this->broker->OnClaim(this->now, kHost, kDomain,
                          {.attempt = AttemptId{attempt},
                           .service = kService,
                           .target = target,
                           .work_key = KeyOf(kind)});
  }

  void Release(std::uint64_t attempt, TargetId target, RequestKind kind, Duration service_time) {
    this->broker->OnRelease(
        this->now, kHost, kDomain,
        {.attempt = AttemptId{attempt},
         .service = kService,
         .target = target,
         .service_time = service_time,
         .kind = this->RouteOf(kind),
         .work_key = KeyOf(kind),
         .load = target == this->stating_target ? this->stated_load : std::nullopt});
  }

  std::optional<TargetId> Request(std::uint64_t attempt,
                                  RequestKind kind,
                                  Duration budget = seconds(4)) {
    const SlotRequest request{.attempt = AttemptId{attempt},
                              .service = kService,
                              .organisation = OrganisationId{1},
                              .budget = budget,
                              .kind = this->RouteOf(kind),
                              .work_key = KeyOf(kind)};
    for (const SendToHost& message :
         this->broker->OnRequest(this->now, kHost, kDomain, request, false)) {
      if (const auto* grant = std::get_if<SlotGrant>(&message.message)) {
        return grant->target;
      }
    }
    return std::nullopt;
  }

  RequestKind RouteOf(RequestKind kind) const { return this->one_route ? kShortKind : kind; }

  static WorkKey KeyOf(RequestKind kind) { return WorkKey{100 + static_cast<std::uint64_t>(kind)}; }

  TimePoint now{seconds(100)};
  std::unique_ptr<SlotBroker> broker;
  std::uint64_t target_count = 2;
  std::uint64_t next_attempt = 10000;
  // Both kinds of requests use one route.
  bool one_route = false;
  TargetId stating_target{1};
  std::optional<TargetLoad> stated_load;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetWorkTest);

}  // namespace
}  // namespace pimentopin

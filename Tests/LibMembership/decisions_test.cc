#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/leaving_targets.h"
#include "Libraries/LibMembership/membership.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetId kTarget{5};

MemberRecord Record(std::uint64_t id, std::uint64_t incarnation, std::uint64_t heartbeat) {
  return {HostId{id},
          "host",
          "127.0.0.1:" + std::to_string(id),
          DomainId{1 + id % 3},
          incarnation,
          heartbeat,
          MemberState::kAlive,
          0};
}

class MembershipDecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipDecisionsTest);
  CPPUNIT_TEST(TestReportedDeadRaisesIncarnation);
  CPPUNIT_TEST(TestOlderRecordChangesNothing);
  CPPUNIT_TEST(TestSeedKnownByNameAndAddress);
  CPPUNIT_TEST(TestNoticeExpiresAndDoesNotProlongItself);
  CPPUNIT_TEST(TestClearedTargetStaysCleared);
  CPPUNIT_TEST(TestPollingRoles);
  CPPUNIT_TEST(TestStartWindowTakesHighest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that never gets out of a report of its own death.
  void TestReportedDeadRaisesIncarnation() {
    RandomSource random(1);
    Membership membership(Record(1, 10, 0), random);
    MemberRecord reported = Record(1, 10, 0);
    reported.state = MemberState::kDead;
    membership.OnGossip(TimePoint{}, {Record(2, 1, 1), {reported}, {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, membership.self().incarnation);
    membership.OnGossip(TimePoint{}, {Record(2, 1, 2), {Record(1, 20, 3)}, {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, membership.self().incarnation);
  }

  // Guards against the record of an earlier run that replaces a later one.
  void TestOlderRecordChangesNothing() {
    RandomSource random(1);
    Membership membership(Record(1, 10, 0), random);
    CPPUNIT_ASSERT(membership.OnGossip(TimePoint{}, {Record(2, 7, 5), {}, {}, {}}));
    MemberRecord older = Record(2, 6, 99);
    older.address = "127.0.0.1:9";
    CPPUNIT_ASSERT(!membership.OnGossip(TimePoint{}, {older, {}, {}, {}}));
    CPPUNIT_ASSERT(membership.Members()[1] == Record(2, 7, 5));
  }

  // Guards against a start that reaches nobody, and against work for a seed
  // that was never heard of.
  void TestSeedKnownByNameAndAddress() {
    RandomSource random(1);
    Membership membership(Record(1, 10, 0), random);
    membership.AddSeeds(TimePoint{}, {{.name = "entry-2", .address = "127.0.0.1:2"}});
    const HostId seed = IdFromName<HostId>("entry-2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.UsableHosts().size());
    const auto sends = membership.Tick(TimePoint{} + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends.size());
    CPPUNIT_ASSERT(sends.front().host == seed);
    CPPUNIT_ASSERT(!membership.HeardPeerWithin(TimePoint{} + seconds(1), seconds(4)));
  }

  // Guards against notices that live for ever because hosts pass them round.
  void TestNoticeExpiresAndDoesNotProlongItself() {
    LeavingTargets first;
    LeavingTargets second;
    TimePoint now{};
    CPPUNIT_ASSERT(first.Mark(now, kTarget));
    CPPUNIT_ASSERT(!first.Mark(now, kTarget));
    for (int round = 0; round < 2500; ++round) {
      const auto sent = first.Notices(now, 8);
      now += milliseconds(250);
      second.Merge(now, sent);
      first.Merge(now, second.Notices(now, 8));
      first.Tick(now);
      second.Tick(now);
    }
    CPPUNIT_ASSERT(!first.IsLeaving(kTarget));
    CPPUNIT_ASSERT(!second.IsLeaving(kTarget));
  }

  // Guards against gossip of before a restart that marks the target again, and
  // against a response sent just before the target began to leave.
  void TestClearedTargetStaysCleared() {
    LeavingTargets targets;
    TimePoint now{};
    targets.Mark(now, kTarget);
    const auto notices = targets.Notices(now, 8);
    targets.Clear(kTarget);
    CPPUNIT_ASSERT(targets.IsLeaving(kTarget));
    now += seconds(20);
    targets.Tick(now);
    targets.Clear(kTarget);
    CPPUNIT_ASSERT(!targets.IsLeaving(kTarget));
    CPPUNIT_ASSERT(!targets.Merge(now, notices));
    CPPUNIT_ASSERT(!targets.IsLeaving(kTarget));
    CPPUNIT_ASSERT(targets.Mark(now, kTarget));
    CPPUNIT_ASSERT(targets.IsLeaving(kTarget));
  }

  // Guards against a table that every host reads at the short interval.
  void TestPollingRoles() {
    std::vector<MemberRecord> members;
    for (std::uint64_t id = 1; id <= 32; ++id) {
      members.push_back(Record(id, 1, 1));
    }
    int readers = 0;
    for (const MemberRecord& member : members) {
      RandomSource random(RawId(member.host));
      ConfigurationTracker tracker(member.host, member.domain, random);
      tracker.SetMembers(members);
      std::size_t polls = 0;
      for (TimePoint now{}; now < TimePoint{} + seconds(60); now += milliseconds(100)) {
        for (const ConfigurationAction& action : tracker.Tick(now)) {
          polls += std::holds_alternative<PollTable>(action) ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT((polls >= 119 && polls <= 121) || (polls >= 30 && polls <= 32));
      readers += polls > 100 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(6, readers);
  }

  // Guards against a starting host that puts the document of a peer in force
  // which is behind, although a newer one arrives in the same second.
  void TestStartWindowTakesHighest() {
    RandomSource random(1);
    ConfigurationTracker tracker(HostId{1}, DomainId{1}, random);
    const TimePoint start{};
    tracker.Tick(start);
    tracker.OnDocument(start + milliseconds(100), {.revision = 5});
    tracker.OnDocument(start + milliseconds(200), {.revision = 7});
    tracker.OnDocument(start + milliseconds(300), {.revision = 6});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, tracker.revision());
    const auto actions = tracker.Tick(start + seconds(1));
    const ConfigurationAction adopt = AdoptConfiguration{{.revision = 7}};
    CPPUNIT_ASSERT(std::find(actions.begin(), actions.end(), adopt) != actions.end());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, tracker.revision());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipDecisionsTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibHealth/crash_fingerprint_registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

constexpr ServiceId kService{1};
constexpr Fingerprint kRequest{7};

class CrashFingerprintRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashFingerprintRegistryTest);
  CPPUNIT_TEST(TestSecondCrashBlocks);
  CPPUNIT_TEST(TestPopularRequestInFlightAtOneCrashIsNotBlocked);
  CPPUNIT_TEST(TestSecondCrashOfSameTargetBlocks);
  CPPUNIT_TEST(TestMergedTwiceCountsOnce);
  CPPUNIT_TEST(TestCrashesAtTwoHostsAddUp);
  CPPUNIT_TEST(TestThirdHostReceivesBothCrashes);
  CPPUNIT_TEST(TestRequestThatWasServedIsBlocked);
  CPPUNIT_TEST(TestForgetsAfterRetention);
  CPPUNIT_TEST(TestRecordsNewestFirstWithLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests without a body that are refused because others with the same path were
  // in flight at targets that failed.
  void TestRequestThatWasServedIsBlocked() {
    CrashFingerprintRegistry before;
    before.RecordSuccess(kRequest);
    before.RecordCrash(At(1s), kService, kRequest, TargetId{1}, AttemptId{1});
    before.RecordCrash(At(2s), kService, kRequest, TargetId{2}, AttemptId{2});
    CPPUNIT_ASSERT(!before.IsSuspect(kRequest));
    CrashFingerprintRegistry between;
    between.RecordCrash(At(1s), kService, kRequest, TargetId{1}, AttemptId{1});
    between.RecordSuccess(kRequest);
    between.RecordCrash(At(2s), kService, kRequest, TargetId{2}, AttemptId{2});
    CPPUNIT_ASSERT(!between.IsBlocked(kRequest));
  }

  // Guards against a request that keeps crashing targets.
  void TestSecondCrashBlocks() {
    CrashFingerprintRegistry registry;
    CPPUNIT_ASSERT(!registry.IsSuspect(kRequest));
    registry.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    CPPUNIT_ASSERT(registry.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!registry.IsBlocked(kRequest));
    registry.RecordCrash(At(1s), kService, kRequest, TargetId{2}, AttemptId{2});
    CPPUNIT_ASSERT(registry.IsBlocked(kRequest));
  }

  // Guards against blocking a request that several callers have in flight when a target
  // crashes, also when several hosts report the same crash.
  void TestPopularRequestInFlightAtOneCrashIsNotBlocked() {
    CrashFingerprintRegistry registry;
    CrashFingerprintRegistry other;
    registry.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    registry.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{2});
    other.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{3});
    registry.Merge(At(3s), other.Records(At(3s), 10));
    other.Merge(At(3s), registry.Records(At(3s), 10));
    CPPUNIT_ASSERT(!registry.IsBlocked(kRequest));
    CPPUNIT_ASSERT(!other.IsBlocked(kRequest));
    registry.Merge(At(60s), other.Records(At(60s), 10));
    CPPUNIT_ASSERT(!registry.IsBlocked(kRequest));
  }

  // Guards against a crash request not being blocked because it is always sent to the
  // same target.
  void TestSecondCrashOfSameTargetBlocks() {
    CrashFingerprintRegistry registry;
    registry.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    registry.RecordCrash(At(11s), kService, kRequest, TargetId{1}, AttemptId{2});
    CPPUNIT_ASSERT(registry.IsBlocked(kRequest));
  }

  // Guards against repeated notices counting one crash several times.
  void TestMergedTwiceCountsOnce() {
    CrashFingerprintRegistry source;
    source.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    CrashFingerprintRegistry registry;
    for (int index = 0; index < 5; ++index) {
      registry.Merge(At(index * 20s), source.Records(At(index * 20s), 10));
    }
    CPPUNIT_ASSERT(registry.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!registry.IsBlocked(kRequest));
  }

  // Guards against crashes at two hosts being counted separately and never reaching the
  // limit.
  void TestCrashesAtTwoHostsAddUp() {
    CrashFingerprintRegistry first;
    CrashFingerprintRegistry second;
    first.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    second.RecordCrash(At(0s), kService, kRequest, TargetId{2}, AttemptId{2});
    first.Merge(At(1s), second.Records(At(1s), 10));
    CPPUNIT_ASSERT(first.IsBlocked(kRequest));
  }

  // Guards against a host that learns of two crashes of one target at once and counts
  // them as one.
  void TestThirdHostReceivesBothCrashes() {
    CrashFingerprintRegistry first;
    first.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    first.RecordCrash(At(30s), kService, kRequest, TargetId{1}, AttemptId{2});
    CrashFingerprintRegistry third;
    third.Merge(At(31s), first.Records(At(31s), 10));
    CPPUNIT_ASSERT(third.IsBlocked(kRequest));
  }

  // Guards against a request being blocked forever after its fault was fixed.
  void TestForgetsAfterRetention() {
    CrashFingerprintRegistry registry;
    registry.RecordCrash(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    registry.RecordCrash(At(1s), kService, kRequest, TargetId{2}, AttemptId{2});
    CrashFingerprintRegistry other;
    other.Merge(At(300s), registry.Records(At(300s), 10));
    registry.Tick(At(600s));
    other.Tick(At(600s));
    CPPUNIT_ASSERT(registry.IsBlocked(kRequest));
    CPPUNIT_ASSERT(other.IsBlocked(kRequest));
    registry.Tick(At(601s));
    other.Tick(At(601s));
    CPPUNIT_ASSERT(!registry.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!other.IsSuspect(kRequest));
    CPPUNIT_ASSERT(registry.Records(At(601s), 10).empty());
  }

  // Guards against old records displacing new ones from the notices.
  void TestRecordsNewestFirstWithLimit() {
    CrashFingerprintRegistry registry;
    for (std::uint64_t index = 0; index < 20; ++index) {
      registry.RecordCrash(At(std::chrono::seconds(index)), kService, Fingerprint{index},
                           TargetId{index}, AttemptId{index});
    }
    const auto records = registry.Records(At(20s), 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, records.size());
    CPPUNIT_ASSERT(records[0].fingerprint == Fingerprint{19});
    CPPUNIT_ASSERT(records[2].fingerprint == Fingerprint{17});
  }

 private:
  static TimePoint At(Duration time) { return TimePoint(std::chrono::hours(1)) + time; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashFingerprintRegistryTest);

}  // namespace
}  // namespace pimentopin

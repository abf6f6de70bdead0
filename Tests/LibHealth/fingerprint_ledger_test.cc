#include "Libraries/LibHealth/fingerprint_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

constexpr ServiceId kService{1};
constexpr Fingerprint kRequest{7};

class FingerprintLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FingerprintLedgerTest);
  CPPUNIT_TEST(TestSecondCrashBlocks);
  CPPUNIT_TEST(TestPopularRequestInFlightAtOneDeathIsNotBlocked);
  CPPUNIT_TEST(TestSecondCrashOfSameTargetBlocks);
  CPPUNIT_TEST(TestMergedTwiceCountsOnce);
  CPPUNIT_TEST(TestCrashesAtTwoHostsAddUp);
  CPPUNIT_TEST(TestThirdHostReceivesVerdict);
  CPPUNIT_TEST(TestForgetsAfterRetention);
  CPPUNIT_TEST(TestRecordsNewestFirstWithLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that goes on crashing targets.
  void TestSecondCrashBlocks() {
    FingerprintLedger ledger;
    CPPUNIT_ASSERT(!ledger.IsSuspect(kRequest));
    ledger.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    CPPUNIT_ASSERT(ledger.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!ledger.IsBlocked(kRequest));
    ledger.RecordKill(At(1s), kService, kRequest, TargetId{2}, AttemptId{2});
    CPPUNIT_ASSERT(ledger.IsBlocked(kRequest));
  }

  // Guards against blocking a page that several callers load when a target
  // dies, also when other hosts report the same death.
  void TestPopularRequestInFlightAtOneDeathIsNotBlocked() {
    FingerprintLedger ledger;
    FingerprintLedger other;
    ledger.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    ledger.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{2});
    other.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{3});
    ledger.Merge(At(3s), other.Records(At(3s), 10));
    other.Merge(At(3s), ledger.Records(At(3s), 10));
    CPPUNIT_ASSERT(!ledger.IsBlocked(kRequest));
    CPPUNIT_ASSERT(!other.IsBlocked(kRequest));
    ledger.Merge(At(60s), other.Records(At(60s), 10));
    CPPUNIT_ASSERT(!ledger.IsBlocked(kRequest));
  }

  // Guards against a request that is always sent to the same target.
  void TestSecondCrashOfSameTargetBlocks() {
    FingerprintLedger ledger;
    ledger.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    ledger.RecordKill(At(11s), kService, kRequest, TargetId{1}, AttemptId{2});
    CPPUNIT_ASSERT(ledger.IsBlocked(kRequest));
  }

  // Guards against gossip multiplying one crash.
  void TestMergedTwiceCountsOnce() {
    FingerprintLedger source;
    source.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    FingerprintLedger ledger;
    for (int index = 0; index < 5; ++index) {
      ledger.Merge(At(index * 20s), source.Records(At(index * 20s), 10));
    }
    CPPUNIT_ASSERT(ledger.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!ledger.IsBlocked(kRequest));
  }

  // Guards against two hosts each allowing a first crash for ever.
  void TestCrashesAtTwoHostsAddUp() {
    FingerprintLedger first;
    FingerprintLedger second;
    first.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    second.RecordKill(At(0s), kService, kRequest, TargetId{2}, AttemptId{2});
    first.Merge(At(1s), second.Records(At(1s), 10));
    CPPUNIT_ASSERT(first.IsBlocked(kRequest));
  }

  // Guards against a host that learns both deaths of one target at once and
  // takes them for one.
  void TestThirdHostReceivesVerdict() {
    FingerprintLedger first;
    first.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    first.RecordKill(At(30s), kService, kRequest, TargetId{1}, AttemptId{2});
    FingerprintLedger third;
    third.Merge(At(31s), first.Records(At(31s), 10));
    CPPUNIT_ASSERT(third.IsBlocked(kRequest));
  }

  // Guards against a corrected request being refused for ever.
  void TestForgetsAfterRetention() {
    FingerprintLedger ledger;
    ledger.RecordKill(At(0s), kService, kRequest, TargetId{1}, AttemptId{1});
    ledger.RecordKill(At(1s), kService, kRequest, TargetId{2}, AttemptId{2});
    FingerprintLedger other;
    other.Merge(At(300s), ledger.Records(At(300s), 10));
    ledger.Tick(At(600s));
    other.Tick(At(600s));
    CPPUNIT_ASSERT(ledger.IsBlocked(kRequest));
    CPPUNIT_ASSERT(other.IsBlocked(kRequest));
    ledger.Tick(At(601s));
    other.Tick(At(601s));
    CPPUNIT_ASSERT(!ledger.IsSuspect(kRequest));
    CPPUNIT_ASSERT(!other.IsSuspect(kRequest));
    CPPUNIT_ASSERT(ledger.Records(At(601s), 10).empty());
  }

  // Guards against old records crowding new ones out of the gossip.
  void TestRecordsNewestFirstWithLimit() {
    FingerprintLedger ledger;
    for (std::uint64_t index = 0; index < 20; ++index) {
      ledger.RecordKill(At(std::chrono::seconds(index)), kService, Fingerprint{index},
                        TargetId{index}, AttemptId{index});
    }
    const auto records = ledger.Records(At(20s), 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, records.size());
    CPPUNIT_ASSERT(records[0].fingerprint == Fingerprint{19});
    CPPUNIT_ASSERT(records[2].fingerprint == Fingerprint{17});
  }

 private:
  static TimePoint At(Duration time) { return TimePoint(std::chrono::hours(1)) + time; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintLedgerTest);

}  // namespace
}  // namespace pimentopin

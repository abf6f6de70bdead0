#include "Libraries/LibQuota/quota_part_lease.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class QuotaPartLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaPartLeaseTest);
  CPPUNIT_TEST(TestLateReleaseEndsAPartThatIsHeldAgain);
  CPPUNIT_TEST(TestPartIsTakenBeforeItsEnd);
  CPPUNIT_TEST(TestRestartedHostWaitsForItsEarlierProcess);
  CPPUNIT_TEST(TestPartOfAnEarlierProcessStaysTaken);
  CPPUNIT_TEST(TestPartIsHeldWhenTheClockOfTheStoreGoesBack);
  CPPUNIT_TEST(TestUnreadableRowIsTakenAtOnce);
  CPPUNIT_TEST(TestStoreWithoutTimeIsReadWithoutPause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->lease.emplace("host-a", 2, [](const std::string&) { return true; });
    this->clock = StoreClock();
    this->now = BootTimePoint(seconds(100));
    this->Observe(seconds(1000));
  }

  // Guards against two holders: the release that got no answer would free a part that its host
  // uses again.
  void TestLateReleaseEndsAPartThatIsHeldAgain() {
    this->Acquire();
    this->lease->SetWanted(this->now, this->clock, false);
    this->lease->OnWritten(this->now, this->clock, std::nullopt);
    this->lease->SetWanted(this->now, this->clock, true);
    const QuotaPartRow own{"host-a", 2, StoreTimePoint(seconds(1014))};
    const auto actions =
        this->lease->OnRead(this->now, this->clock, TableRow{1, EncodeQuotaPartRow(own)});
    CPPUNIT_ASSERT(!this->lease->HoldsAt(this->now, this->clock));
    CPPUNIT_ASSERT(Writes(actions));
    this->lease->OnWritten(this->now, this->clock, WriteResult{true, 2});
    CPPUNIT_ASSERT(this->lease->HoldsAt(this->now, this->clock));
  }

  void TestPartIsTakenBeforeItsEnd() {
    const auto other = EncodeQuotaPartRow({"host-b", 1, StoreTimePoint(seconds(1005))});
    this->lease->SetWanted(this->now, this->clock, true);
    CPPUNIT_ASSERT(!Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, other})));
    this->now += seconds(5);
    this->lease->Tick(this->now, this->clock);
    CPPUNIT_ASSERT(!Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, other})));
    this->now += QuotaPartLease::kHeldPollDelay;
    this->lease->Tick(this->now, this->clock);
    CPPUNIT_ASSERT(Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, other})));
  }

  void TestRestartedHostWaitsForItsEarlierProcess() {
    this->lease->SetWanted(this->now, this->clock, true);
    const auto earlier = EncodeQuotaPartRow({"host-a", 1, StoreTimePoint(seconds(1010))});
    CPPUNIT_ASSERT(Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, earlier})));
  }

  // Guards against a restarted host whose part is assigned to another one, which would wait for the
  // end of the earlier process's lease.
  void TestPartOfAnEarlierProcessStaysTaken() {
    this->lease->ReleaseFormer(this->now, this->clock);
    const auto other = EncodeQuotaPartRow({"host-b", 1, StoreTimePoint(seconds(1010))});
    CPPUNIT_ASSERT(!Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, other})));
    this->lease->ReleaseFormer(this->now, this->clock);
    const auto earlier = EncodeQuotaPartRow({"host-a", 1, StoreTimePoint(seconds(1010))});
    const auto actions = this->lease->OnRead(this->now, this->clock, TableRow{2, earlier});
    CPPUNIT_ASSERT(Writes(actions));
    this->lease->OnWritten(this->now, this->clock, WriteResult{true, 3});
    CPPUNIT_ASSERT(!this->lease->HoldsAt(this->now, this->clock));
    CPPUNIT_ASSERT_EQUAL(std::string(), this->lease->known_holder());
  }

  void TestPartIsHeldWhenTheClockOfTheStoreGoesBack() {
    this->Acquire();
    CPPUNIT_ASSERT(!this->Observe(seconds(10)));
    this->lease->OnStoreClockJumped(this->now);
    CPPUNIT_ASSERT(!this->lease->HoldsAt(this->now, this->clock));
  }

  void TestUnreadableRowIsTakenAtOnce() {
    this->lease->SetWanted(this->now, this->clock, true);
    CPPUNIT_ASSERT(!Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, "?"})));
    this->now += QuotaPartLease::kLength + seconds(1);
    this->lease->Tick(this->now, this->clock);
    CPPUNIT_ASSERT(Writes(this->lease->OnRead(this->now, this->clock, TableRow{1, "?"})));
  }

  void TestStoreWithoutTimeIsReadWithoutPause() {
    this->clock = StoreClock();
    this->lease->SetWanted(this->now, this->clock, true);
    CPPUNIT_ASSERT(this->lease->OnRead(this->now, this->clock, TableRow{}).empty());
    CPPUNIT_ASSERT(this->lease->NextDeadline(this->now, this->clock) >=
                   this->now + QuotaPartLease::kRetryDelay);
  }

 private:
  bool Observe(Duration store_time) {
    return this->clock.Observe(this->now, this->now, StoreTimePoint(store_time));
  }
  void Acquire() {
    this->lease->SetWanted(this->now, this->clock, true);
    this->lease->OnRead(this->now, this->clock, TableRow{});
    this->lease->OnWritten(this->now, this->clock, WriteResult{true, 1});
    CPPUNIT_ASSERT(this->lease->HoldsAt(this->now, this->clock));
  }
  static bool Writes(const std::vector<LeaseAction>& actions) {
    return std::any_of(actions.begin(), actions.end(), [](const LeaseAction& action) {
      return std::holds_alternative<WriteQuotaPart>(action);
    });
  }

  std::optional<QuotaPartLease> lease;
  StoreClock clock;
  BootTimePoint now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaPartLeaseTest);

}  // namespace
}  // namespace pimentopin

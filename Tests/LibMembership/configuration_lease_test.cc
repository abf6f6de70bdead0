#include "Libraries/LibMembership/configuration_lease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRevocationTime = seconds(5);

// The store's clock is 1000 s behind this host's.
BootTimePoint Boot(Duration store_time) {
  return BootTimePoint(seconds(1000) + store_time);
}

StoreTimePoint Store(Duration time) {
  return StoreTimePoint(time);
}

class ConfigurationLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationLeaseTest);
  CPPUNIT_TEST(TestPausedHostStopsAcceptingKeys);
  CPPUNIT_TEST(TestDelayedDigestExtendsNothing);
  CPPUNIT_TEST(TestStartedHostKnowsNothing);
  CPPUNIT_TEST(TestOlderActiveRevisionRenewsNothing);
  CPPUNIT_TEST(TestNewestConfirmationWaitsForItsRevision);
  CPPUNIT_TEST(TestStoreClockThatGoesBackEndsTheLease);
  CPPUNIT_TEST(TestTimeFromBeforeAJumpIsIgnored);
  CPPUNIT_TEST(TestEndedLeaseIsNotPassedOn);
  CPPUNIT_TEST(TestStoreIsCalledForItsTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->Observe(seconds(10));
    this->lease.SetActiveRevision(7);
  }

  // Guards against a key that is accepted after a pause or a suspension, which the boot clock
  // counts, although the store may have had a newer configuration for longer than the revocation
  // time.
  void TestPausedHostStopsAcceptingKeys() {
    this->Confirm(seconds(10), seconds(10), 7);
    // A traffic thread holds the term while the whole host is paused.
    const LeaseTerm term = this->lease.term();
    CPPUNIT_ASSERT(term.Covers(Boot(milliseconds(14'800))));
    CPPUNIT_ASSERT(!term.Covers(Boot(seconds(15))));
  }

  // Guards against a message that waited in a link and counts as fresh when it arrives.
  void TestDelayedDigestExtendsNothing() {
    this->Confirm(seconds(10), seconds(10), 7);
    this->Confirm(seconds(14), seconds(9), 7);
    CPPUNIT_ASSERT(this->lease.term().Covers(Boot(milliseconds(14'800))));
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(15))));
    this->Confirm(seconds(15), seconds(9), 7);
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(15))));
  }

  // Guards against a started host that trusts the configuration of a peer, or a confirmation that
  // it cannot compare with its own clock.
  void TestStartedHostKnowsNothing() {
    ConfigurationLease started(kRevocationTime);
    started.SetActiveRevision(7);
    CPPUNIT_ASSERT(!started.term().Covers(Boot(seconds(10))));
    started.Confirm(Boot(seconds(10)), {.at = Store(seconds(10)), .revision = 7});
    CPPUNIT_ASSERT(!started.term().Covers(Boot(seconds(10))));
    started.ObserveStoreTime(Boot(seconds(11)), Boot(seconds(11)), Store(seconds(11)));
    CPPUNIT_ASSERT(started.term().Covers(Boot(seconds(11))));
  }

  // Guards against a host that has heard of a newer configuration, which may lack a key, and goes
  // on with its own.
  void TestOlderActiveRevisionRenewsNothing() {
    this->Confirm(seconds(10), seconds(10), 7);
    this->Confirm(seconds(14), seconds(14), 8);
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(15))));
    this->lease.SetActiveRevision(8);
    CPPUNIT_ASSERT(this->lease.term().Covers(Boot(seconds(15))));
  }

  // Guards against a host that never has the newest revision while configurations follow each other
  // quickly, and loses the confirmations of those that it has.
  void TestNewestConfirmationWaitsForItsRevision() {
    for (std::uint64_t revision = 8; revision < 40; ++revision) {
      this->Confirm(seconds(revision), seconds(revision), revision);
      this->lease.SetActiveRevision(revision - 1);
    }
    CPPUNIT_ASSERT(this->lease.term().Covers(Boot(seconds(40))));
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(43))));
  }

  // Guards against a lease on a time of the store that its restarted clock reaches much later.
  void TestStoreClockThatGoesBackEndsTheLease() {
    this->Confirm(seconds(10), seconds(10), 7);
    this->lease.ObserveStoreTime(Boot(seconds(11)), Boot(seconds(11)), Store(seconds(1)));
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(11))));
    this->Confirm(seconds(11), seconds(1), 7);
    CPPUNIT_ASSERT(this->lease.term().Covers(Boot(seconds(15))));
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(16))));
  }

  // Guards against a digest with a time from before the store's clock went back.
  void TestTimeFromBeforeAJumpIsIgnored() {
    this->Confirm(seconds(10), seconds(500), 7);
    CPPUNIT_ASSERT(!this->lease.term().Covers(Boot(seconds(10))));
    CPPUNIT_ASSERT(this->lease.NeedsStoreTime(Boot(seconds(10))));
  }

  // Guards against a host without contact that passes on a time of the store until the restarted
  // clock of the store reaches that time.
  void TestEndedLeaseIsNotPassedOn() {
    this->Confirm(seconds(10), seconds(10), 7);
    CPPUNIT_ASSERT(this->lease.ConfirmedAt(Boot(seconds(14))) == Store(seconds(10)));
    CPPUNIT_ASSERT(!this->lease.ConfirmedAt(Boot(seconds(15))));
  }

  // Guards against a host that makes no call of its own for so long that the clocks drift apart.
  void TestStoreIsCalledForItsTime() {
    CPPUNIT_ASSERT(ConfigurationLease(kRevocationTime).NeedsStoreTime(Boot(seconds(10))));
    CPPUNIT_ASSERT(!this->lease.NeedsStoreTime(Boot(seconds(11))));
    CPPUNIT_ASSERT(
        this->lease.NeedsStoreTime(Boot(seconds(10) + ConfigurationLease::kClockInterval)));
  }

 private:
  void Observe(Duration store_time) {
    this->lease.ObserveStoreTime(Boot(store_time), Boot(store_time), Store(store_time));
  }
  // A confirmation arrives at `now`.
  void Confirm(Duration now, Duration at, std::uint64_t revision) {
    this->lease.Confirm(Boot(now), {.at = Store(at), .revision = revision});
  }

  ConfigurationLease lease{kRevocationTime};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLeaseTest);

}  // namespace
}  // namespace pimentopin

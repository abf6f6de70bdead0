#include "Libraries/LibHost/key_lease_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace pimentopin {
namespace {

using std::chrono::seconds;

class KeyLeaseControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyLeaseControllerTest);
  CPPUNIT_TEST(TestDigestRenewsTheLease);
  CPPUNIT_TEST(TestUnknownStoreTimeIsReadOnce);
  CPPUNIT_TEST(TestLeaseOfNewerConfigurationIsNotUsedWithOlderOne);
  CPPUNIT_TEST(TestKeysNeedNoLeaseWithoutRevocationTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that hears of the store from others only, and against one that goes on
  // when it hears nothing more.
  void TestDigestRenewsTheLease() {
    this->controller.SetActiveRevision(7);
    this->controller.OnStoreTime(this->now, this->now, StoreTimePoint(seconds(50)));
    CPPUNIT_ASSERT(!this->controller.accepts_keys());
    this->controller.OnDigest(
        {.configuration_revision = 7, .confirmed_store_time = StoreTimePoint(seconds(50))});
    CPPUNIT_ASSERT(this->controller.accepts_keys());
    CPPUNIT_ASSERT_EQUAL(1, this->changes);
    CPPUNIT_ASSERT(this->controller.ConfirmedAt() == StoreTimePoint(seconds(50)));
    this->now += seconds(6);
    this->controller.OnDigest({.configuration_revision = 7});
    this->controller.Tick();
    CPPUNIT_ASSERT(!this->controller.accepts_keys());
    CPPUNIT_ASSERT_EQUAL(2, this->changes);
    CPPUNIT_ASSERT(!ReadActiveConfiguration(this->shared_state, this->clock).keys_confirmed);
  }

  // Guards against a host without the time of the store that never asks, or asks all the time.
  void TestUnknownStoreTimeIsReadOnce() {
    this->controller.Tick();
    this->controller.Tick();
    CPPUNIT_ASSERT_EQUAL(1, this->calls);
    this->finish_call();
    this->controller.Tick();
    CPPUNIT_ASSERT_EQUAL(2, this->calls);
    this->controller.OnStoreTime(this->now, this->now, StoreTimePoint(seconds(50)));
    this->finish_call();
    this->controller.Tick();
    CPPUNIT_ASSERT_EQUAL(2, this->calls);
  }

  // Guards against reading the configuration before the lease: a key that the newer configuration
  // lacks would be accepted.
  void TestLeaseOfNewerConfigurationIsNotUsedWithOlderOne() {
    constexpr std::size_t kTrials = 3000;
    std::vector<SharedState> trials(kTrials);
    for (SharedState& state : trials) {
      state.configuration.Write({.revision = 1});
      state.key_lease.Write({});
    }
    StoreClock store_clock;
    store_clock.Observe(this->now, this->now, StoreTimePoint());
    const LeaseTerm lasting{.clock = store_clock, .end = StoreTimePoint(seconds(1))};
    std::atomic<std::size_t> next = 0;
    std::uint64_t older_ones = 0;
    std::thread reader([&] {
      while (next < kTrials) {
        const ActiveConfiguration active = ReadActiveConfiguration(trials[next], this->clock);
        if (active.keys_confirmed) {
          older_ones += active.configuration->revision == 1 ? 1 : 0;
          ++next;
        }
      }
    });
    for (std::size_t trial = 0; trial < kTrials; ++trial) {
      while (next < trial) {
      }
      trials[trial].configuration.Write({.revision = 2});
      trials[trial].key_lease.Write(lasting);
    }
    reader.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, older_ones);
  }

  // Guards against refusing keys in a fleet that asks for no time limit.
  void TestKeysNeedNoLeaseWithoutRevocationTime() {
    SharedState without_lease;
    CPPUNIT_ASSERT(ReadActiveConfiguration(without_lease, this->clock).keys_confirmed);
  }

 private:
  SharedState shared_state;
  BootTimePoint now{seconds(100)};
  const std::function<BootTimePoint()> clock = [this] { return this->now; };
  int changes = 0;
  int calls = 0;
  std::function<void()> finish_call;
  KeyLeaseController controller{this->shared_state,
                                {.revocation_time = seconds(5),
                                 .call_store =
                                     [this](std::function<void()> done) {
                                       ++this->calls;
                                       this->finish_call = std::move(done);
                                     },
                                 .clock = this->clock,
                                 .on_changed = [this] { ++this->changes; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyLeaseControllerTest);

}  // namespace
}  // namespace pimentopin

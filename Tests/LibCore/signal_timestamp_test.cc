#include "Libraries/LibCore/signal_timestamp.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include "Libraries/LibCore/scoped_signal_mask.h"

namespace pimentopin {
namespace {

volatile std::sig_atomic_t handled_signals = 0;
TimePoint clock_time;

TimePoint At(int seconds) {
  clock_time = TimePoint(std::chrono::seconds(seconds));
  return clock_time;
}

void CountSignal(int /*number*/) {
  handled_signals = handled_signals + 1;
}

class SignalTimestampTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SignalTimestampTest);
  CPPUNIT_TEST(TestSignalIsDatedWhenItsTaskRuns);
  CPPUNIT_TEST(TestSignalIsDatedAfterPause);
  CPPUNIT_TEST(TestPendingSignalIsUnknown);
  CPPUNIT_TEST(TestSightingsOfOtherThreadsAreForgotten);
  CPPUNIT_TEST(TestHandlerIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->installed = std::signal(SIGUSR1, CountSignal); }
  void tearDown() override { std::signal(SIGUSR1, this->installed); }

  // Guards against a stop that is dated by a busy event loop, later than its signal.
  void TestSignalIsDatedWhenItsTaskRuns() {
    SignalTimestamp timestamp({SIGUSR1});
    CPPUNIT_ASSERT(!timestamp.first());
    const TimePoint before = SteadyNow();
    timestamp.RecordRunning(before);
    std::raise(SIGUSR1);
    const TimePoint after = SteadyNow();
    const std::optional<SignalTime> time = timestamp.first();
    CPPUNIT_ASSERT(time && time->sent_after == before);
    CPPUNIT_ASSERT(time->sent_before >= before && time->sent_before <= after);
    timestamp.RecordRunning(after);
    std::raise(SIGUSR1);
    CPPUNIT_ASSERT(timestamp.first() == time);
  }

  // Guards against requests that are accepted too late to end within the grace, because the process
  // was kept from running when the signal was sent.
  void TestSignalIsDatedAfterPause() {
    SignalTimestamp timestamp({SIGUSR1});
    const TimePoint last_running = SteadyNow() - std::chrono::milliseconds(900);
    timestamp.RecordRunning(last_running);
    std::raise(SIGUSR1);
    CPPUNIT_ASSERT(timestamp.first()->sent_after == last_running);
  }

  // Guards against a host whose other threads accept requests as if it had not been told to stop,
  // while the thread that handles signals does not run.
  void TestPendingSignalIsUnknown() {
    SignalTimestamp timestamp({SIGUSR1});
    const TimePoint last_running = SteadyNow();
    timestamp.RecordRunning(last_running);
    {
      const ScopedSignalMask blocked(SIG_BLOCK, {SIGUSR1});
      kill(getpid(), SIGUSR1);
      CPPUNIT_ASSERT(timestamp.first()->sent_after == last_running);
    }
    CPPUNIT_ASSERT(timestamp.first()->sent_after == last_running);
  }

  // Guards against a stop that is dated by the thread that handles its signal alone, which does not
  // run for long, although others were running when it was sent.
  void TestSightingsOfOtherThreadsAreForgotten() {
    SignalTimestamp timestamp({SIGUSR1}, [] { return clock_time; });
    timestamp.RecordRunning(At(100));
    {
      const ScopedSignalMask blocked(SIG_BLOCK, {SIGUSR1});
      const TimePoint last_clear = At(102);
      CPPUNIT_ASSERT(!timestamp.first());
      std::raise(SIGUSR1);
      const SignalTime seen{last_clear, At(103)};
      CPPUNIT_ASSERT(timestamp.first() == seen);
      At(105);
      CPPUNIT_ASSERT(timestamp.first() == seen);
    }
    CPPUNIT_ASSERT((timestamp.first() == SignalTime{TimePoint(std::chrono::seconds(102)),
                                                    TimePoint(std::chrono::seconds(103))}));
  }

  // Guards against signals that no longer reach the handler that was installed before.
  void TestHandlerIsLost() {
    handled_signals = 0;
    {
      const SignalTimestamp timestamp({SIGUSR1});
      std::raise(SIGUSR1);
    }
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(handled_signals));
    std::raise(SIGUSR1);
    CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(handled_signals));
  }

 private:
  void (*installed)(int) = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SignalTimestampTest);

}  // namespace
}  // namespace pimentopin

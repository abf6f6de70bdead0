#include "Libraries/LibHost/stop_admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Libraries/LibCore/signal_timestamp.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StopAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopAdmissionTest);
  CPPUNIT_TEST(TestRequestIsCutAtTheEndOfTheGrace);
  CPPUNIT_TEST(TestRequestIsCutIfTheSignalWasHandledLate);
  CPPUNIT_TEST(TestLongGraceCutsLateRequests);
  CPPUNIT_TEST(TestHostPausesWhenTheAnswerIsDue);
  CPPUNIT_TEST(TestAcceptedRequestIsCutAfterPause);
  CPPUNIT_TEST(TestAcceptedRequestIsCutWhenAPauseIsForgotten);
  CPPUNIT_TEST(TestHostWithoutGraceAcceptsAll);
  CPPUNIT_TEST(TestAcceptedRequestOutlastsTheGrace);
  CPPUNIT_TEST(TestRequestStartsThoughTheHostMayEndAtOnce);
  CPPUNIT_TEST(TestUnknownStartEndsWorkEarly);
  CPPUNIT_TEST(TestHostIsKilledWhileItWaitsForWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are accepted late in the grace and end without an answer.
  void TestRequestIsCutAtTheEndOfTheGrace() {
    const StopAdmission admission{
        .earliest_start = kStart, .latest_start = kStart, .grace = seconds(6)};
    CPPUNIT_ASSERT(admission.Accepts(kStart, Request(seconds(2), false)));
    CPPUNIT_ASSERT(
        admission.Accepts(kStart + milliseconds(3700), Request(seconds(2), false, 3700)));
    CPPUNIT_ASSERT(
        !admission.Accepts(kStart + milliseconds(3800), Request(seconds(2), false, 3800)));
    // The deadline of a non-idempotent request has to be within the grace.
    CPPUNIT_ASSERT(!admission.Accepts(kStart, Request(seconds(8), false)));
    CPPUNIT_ASSERT(admission.Accepts(kStart + milliseconds(2900), Request(seconds(8), true, 2900)));
    CPPUNIT_ASSERT(!admission.Accepts(kStart + seconds(3), Request(seconds(8), true, 3000)));
  }

  // Guards against a request that the platform sent in the second half of the grace, counted from
  // its signal, and that is cut because the host counts from when it handled the signal.
  void TestRequestIsCutIfTheSignalWasHandledLate() {
    const auto installed = std::signal(SIGUSR1, SIG_IGN);
    for (const Duration signal_delay : {milliseconds(0), milliseconds(80), milliseconds(900)}) {
      const TimePoint sent_at = SteadyNow() - signal_delay;
      SignalTimestamp timestamp({SIGUSR1});
      timestamp.RecordRunning(sent_at);
      std::raise(SIGUSR1);
      const StopAdmission admission{.earliest_start = timestamp.first()->sent_after,
                                    .latest_start = timestamp.first()->sent_before,
                                    .grace = seconds(6)};
      RequestDescription request;
      request.idempotent = true;
      request.deadline = sent_at + milliseconds(3010) + seconds(8);
      CPPUNIT_ASSERT(!admission.Accepts(sent_at + milliseconds(3010), request));
      CPPUNIT_ASSERT(admission.Limits().last_start < sent_at + seconds(6));
      // The target may work on it in the last sixth, from wherever the platform counts.
      CPPUNIT_ASSERT(admission.Limits().last_answer >= timestamp.first()->sent_before + seconds(5));
    }
    std::signal(SIGUSR1, installed);
  }

  // Guards against requests that are cut at the end of a long grace although they were sent when
  // the platform no longer accepts that.
  void TestLongGraceCutsLateRequests() {
    const StopAdmission stop{.earliest_start = kStart,
                             .latest_start = kStart,
                             .grace = seconds(10),
                             .cuttable_request_window = seconds(3)};
    CPPUNIT_ASSERT(stop.Accepts(kStart + milliseconds(2990), Request(seconds(8), true, 2990)));
    CPPUNIT_ASSERT(!stop.Accepts(kStart + milliseconds(3500), Request(seconds(8), true, 3500)));
    CPPUNIT_ASSERT(stop.Accepts(kStart + milliseconds(3500), Request(seconds(6), true, 3500)));
  }

  // Guards against answers that are due while the host is kept from running until it is killed.
  void TestHostPausesWhenTheAnswerIsDue() {
    const StopAdmission stop{.earliest_start = kStart,
                             .latest_start = kStart,
                             .grace = seconds(6),
                             .longest_pause = milliseconds(320)};
    const HostEnd limits = stop.Limits();
    CPPUNIT_ASSERT(limits.last_answer + milliseconds(320) < kStart + seconds(6));
    CPPUNIT_ASSERT(limits.last_start < limits.last_answer);
    // Work that may go on for the last sixth of the grace is not ended sooner.
    const StopAdmission long_pause{.earliest_start = kStart,
                                   .latest_start = kStart,
                                   .grace = seconds(6),
                                   .longest_pause = seconds(3)};
    CPPUNIT_ASSERT(long_pause.Limits().last_answer == kStart + seconds(5));
  }

  // Guards against requests that were accepted because they end in time, and whose targets are told
  // to stop sooner, or that wait for longer than planned, after a pause of the host.
  void TestAcceptedRequestIsCutAfterPause() {
    StopAdmission stop{.earliest_start = kStart,
                       .latest_start = kStart + milliseconds(450),
                       .grace = seconds(6),
                       .longest_pause = milliseconds(400)};
    const HostEnd limits = stop.Limits();
    stop.longest_pause = milliseconds(800);
    const HostEnd renewed = stop.RenewedLimits(limits);
    CPPUNIT_ASSERT(renewed.last_answer == limits.last_answer);
    CPPUNIT_ASSERT(renewed.last_start == limits.last_start - milliseconds(300));
    stop.longest_pause = milliseconds(100);
    const HostEnd longer{.last_start = renewed.last_start,
                         .last_answer = stop.Limits().last_answer};
    CPPUNIT_ASSERT(longer.last_answer > renewed.last_answer);
    CPPUNIT_ASSERT(stop.RenewedLimits(renewed) == longer);
  }

  // Guards against breaking off a request of the second half of the grace that was accepted for its
  // deadline, as a pause that set an earlier limit was no longer recent.
  void TestAcceptedRequestIsCutWhenAPauseIsForgotten() {
    StopAdmission stop{.earliest_start = kStart,
                       .latest_start = kStart,
                       .grace = seconds(6),
                       .longest_pause = milliseconds(600)};
    const HostEnd first = stop.Limits();
    stop.longest_pause = Duration::zero();
    const RequestDescription request = Request(milliseconds(2500), false, 3100);
    CPPUNIT_ASSERT(stop.Accepts(kStart + milliseconds(3100), request));
    const HostEnd renewed = stop.RenewedLimits(first);
    CPPUNIT_ASSERT(renewed.last_answer >= request.deadline);
    CPPUNIT_ASSERT(renewed.last_start == first.last_start);
  }

  // Guards against refusals by a host that may take any time to stop.
  void TestHostWithoutGraceAcceptsAll() {
    const StopAdmission admission{.earliest_start = kStart, .latest_start = kStart};
    CPPUNIT_ASSERT(admission.Accepts(kStart + seconds(60), Request(seconds(60), false, 60'000)));
  }

  // Guards against accepted requests that nothing ends before the host is killed.
  void TestAcceptedRequestOutlastsTheGrace() {
    const StopAdmission admission{
        .earliest_start = kStart, .latest_start = kStart, .grace = seconds(6)};
    CPPUNIT_ASSERT(admission.Limits().last_start < admission.Limits().last_answer);
    CPPUNIT_ASSERT(admission.Limits().last_answer < kStart + seconds(6));
    const StopAdmission endless{.earliest_start = kStart, .latest_start = kStart};
    CPPUNIT_ASSERT(endless.Limits() == HostEnd{});
    // A short grace is used too.
    const StopAdmission short_stop{
        .earliest_start = kStart, .latest_start = kStart, .grace = milliseconds(200)};
    CPPUNIT_ASSERT(short_stop.Limits().last_start > kStart + milliseconds(100));
  }

  // Guards against requests that are accepted or started by a host that has not run for so long
  // that the platform may end it at once.
  void TestRequestStartsThoughTheHostMayEndAtOnce() {
    const StopAdmission stop{
        .earliest_start = kStart - seconds(7), .latest_start = kStart, .grace = seconds(6)};
    CPPUNIT_ASSERT(!stop.Accepts(kStart, Request(seconds(1), true)));
    CPPUNIT_ASSERT(!stop.Accepts(kStart, Request(milliseconds(1), false)));
    CPPUNIT_ASSERT(stop.Limits().last_start < kStart);
    CPPUNIT_ASSERT(stop.Limits().last_answer == kStart + seconds(5));
  }

  // Guards against work that is ended before the last sixth of the grace, or requests that start
  // after it, if the start of the stop is not known exactly.
  void TestUnknownStartEndsWorkEarly() {
    for (const int unknown_ms : {0, 50, 600, 700, 800, 2000}) {
      const StopAdmission stop{.earliest_start = kStart - milliseconds(unknown_ms),
                               .latest_start = kStart,
                               .grace = seconds(6)};
      CPPUNIT_ASSERT(stop.Limits().last_answer >= kStart + seconds(5));
      CPPUNIT_ASSERT(stop.Limits().last_answer < kStart + seconds(6));
      CPPUNIT_ASSERT(stop.Limits().last_start < stop.earliest_start + seconds(6));
      CPPUNIT_ASSERT(stop.LastSafeAnswer() < stop.earliest_start + seconds(6));
    }
  }

  // Guards against a host that has answered everything and is killed as a write is not confirmed.
  void TestHostIsKilledWhileItWaitsForWrites() {
    for (const Duration pause : {milliseconds(0), milliseconds(400), milliseconds(2000)}) {
      for (const Duration signal_delay : {milliseconds(0), milliseconds(50), milliseconds(990)}) {
        const StopAdmission stop{.earliest_start = kStart,
                                 .latest_start = kStart + signal_delay,
                                 .grace = seconds(6),
                                 .longest_pause = pause};
        const TimePoint last_answer = stop.Limits().last_answer;
        const TimePoint last_write = stop.LastWrite(last_answer);
        // The last answers are written too, and the process needs time to end.
        CPPUNIT_ASSERT(last_write > last_answer);
        CPPUNIT_ASSERT(last_write < kStart + seconds(6));
      }
    }
    // Nothing is left, but the answers have gone out.
    const StopAdmission late{
        .earliest_start = kStart, .latest_start = kStart + milliseconds(1500), .grace = seconds(6)};
    CPPUNIT_ASSERT(late.LastWrite(late.Limits().last_answer) == late.Limits().last_answer);
    const StopAdmission endless{.earliest_start = kStart, .latest_start = kStart};
    CPPUNIT_ASSERT(endless.LastWrite(endless.Limits().last_answer) == TimePoint::max());
  }

 private:
  static constexpr TimePoint kStart = TimePoint(seconds(1000));

  // A request that arrives `arrival_ms` after the start of the stop.
  static RequestDescription Request(Duration budget, bool idempotent, int arrival_ms = 0) {
    RequestDescription request;
    request.deadline = kStart + milliseconds(arrival_ms) + budget;
    request.idempotent = idempotent;
    return request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopAdmissionTest);

}  // namespace
}  // namespace pimentopin

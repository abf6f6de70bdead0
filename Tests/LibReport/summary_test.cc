#include "Libraries/LibReport/summary.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "Libraries/LibReport/monthly_report.h"
#include "Libraries/LibReport/summary_recorder.h"
#include "Libraries/LibReport/summary_writer.h"
#include "Tests/LibReport/mock_object_store.h"
#include "Tests/property.h"

namespace pimentopin {
namespace {

using nlohmann::json;

// 2026-12-04T09:00:00Z
constexpr std::uint64_t kStartMs = 1'796'374'800'000;
constexpr std::uint64_t kPeriodMs = 60'000;

TimePoint At(std::int64_t seconds) {
  return TimePoint(std::chrono::seconds(seconds));
}

class SummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SummaryTest);
  CPPUNIT_TEST(TestRecorderCountsEveryEndOnce);
  CPPUNIT_TEST(TestDoubledRuns);
  CPPUNIT_TEST(TestHealthEvents);
  CPPUNIT_TEST(TestPeriods);
  CPPUNIT_TEST(TestMonthAndKey);
  CPPUNIT_TEST(TestJsonRoundTrip);
  CPPUNIT_TEST(TestMutatedJson);
  CPPUNIT_TEST(TestSummaryReadTwiceCountsOnce);
  CPPUNIT_TEST(TestMissingPeriodsAndForeignObjects);
  CPPUNIT_TEST(TestReportStatesWhatIsNotKnown);
  CPPUNIT_TEST(TestWriterKeepsSummariesDuringOutage);
  CPPUNIT_TEST(TestWriterJoinsBeyondItsLimit);
  CPPUNIT_TEST(TestLostAnswerIsNotJoined);
  CPPUNIT_TEST(TestWriterRetryInterval);
  CPPUNIT_TEST(TestLateAnswerAfterWriterIsGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that appear under no outcome or under two, and
  // against latencies of responses that nobody received.
  void TestRecorderCountsEveryEndOnce() {
    SummaryRecorder recorder = Recorder();
    RequestRecord request{.service = "parts",
                          .outcome = Outcome::kTarget,
                          .idempotent = true,
                          .attempts = 1,
                          .possible_runs = 1,
                          .latency = std::chrono::milliseconds(20)};
    recorder.OnRequest(request);
    request.late = true;
    request.in_demand_peak = true;
    request.beside_long_work = true;
    request.attempts = 3;
    request.possible_runs = 2;
    recorder.OnRequest(request);
    request = {.service = "parts",
               .work_class = WorkClass::kLong,
               .outcome = Outcome::kTarget,
               .attempts = 1,
               .latency = std::chrono::seconds(1),
               .in_demand_peak = true,
               .beside_long_work = true};
    recorder.OnRequest(request);
    request.broken = true;
    recorder.OnRequest(request);
    request.abandoned = true;
    recorder.OnRequest(request);
    recorder.OnRequest({.service = "parts", .outcome = Outcome::kNotRun});
    recorder.OnRequest({.service = "parts", .outcome = Outcome::kUnknown, .attempts = 1});
    const ServiceSummary entry = recorder.Close(kStartMs + kPeriodMs)->services.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, entry.requests);
    CPPUNIT_ASSERT_EQUAL(entry.requests, entry.complete + entry.broken + entry.refused_not_run +
                                             entry.unknown + entry.abandoned);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, entry.complete);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.late);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry.retried);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.doubled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry.short_latency.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.long_latency.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.peak_latency.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.blocking_latency.count());
  }

  // Guards against a second run of a booking that the report does not show, and
  // against counting retries after a shed or of idempotent work.
  void TestDoubledRuns() {
    SummaryRecorder recorder = Recorder();
    RequestRecord booking{
        .service = "booking", .outcome = Outcome::kTarget, .attempts = 2, .possible_runs = 2};
    recorder.OnRequest(booking);
    booking.possible_runs = 1;
    recorder.OnRequest(booking);
    booking.possible_runs = 2;
    booking.idempotent = true;
    recorder.OnRequest(booking);
    recorder.OnForeignClaim("booking");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, recorder.Close(kStartMs + 1)->services.at(0).doubled);
  }

  // Guards against false ejections that are not shown, and against counting a
  // target that stayed bad or was reinstated for the floor.
  void TestHealthEvents() {
    SummaryRecorder recorder = Recorder();
    const auto event = [](int second, std::uint64_t target, HealthEventKind kind) {
      return HealthEvent{.at = At(second),
                         .target = TargetId{target},
                         .kind = kind,
                         .detection_time = std::chrono::milliseconds(1500)};
    };
    recorder.OnHealthEvent("parts", event(0, 1, HealthEventKind::kEjected));
    recorder.OnHealthEvent("parts", event(0, 2, HealthEventKind::kEjected));
    recorder.OnHealthEvent("parts", event(0, 3, HealthEventKind::kEjected));
    recorder.OnHealthEvent("parts", event(5, 3, HealthEventKind::kReinstatedForFloor));
    recorder.OnHealthEvent("parts", event(10, 1, HealthEventKind::kProbation));
    recorder.OnHealthEvent("parts", event(45, 1, HealthEventKind::kReturned));
    recorder.OnHealthEvent("parts", event(46, 2, HealthEventKind::kReturned));
    recorder.OnHealthEvent("parts", event(20, 3, HealthEventKind::kReturned));
    recorder.OnHealthEvent("parts", event(20, 4, HealthEventKind::kReturned));
    const ServiceSummary entry = recorder.Close(kStartMs + 1)->services.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, entry.ejections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.false_ejections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, entry.detection_times.count());
  }

  // Guards against counts that show in two periods, and against an object per
  // minute from an idle host.
  void TestPeriods() {
    SummaryRecorder recorder = Recorder();
    recorder.OnRequest({.service = "b"});
    recorder.OnRequest({.service = "a"});
    const HostSummary first = *recorder.Close(kStartMs + kPeriodMs);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), first.services[0].service);
    CPPUNIT_ASSERT(!recorder.Close(kStartMs + 2 * kPeriodMs));
    recorder.OnRequest({.service = "a"});
    const HostSummary second = *recorder.Close(kStartMs + 3 * kPeriodMs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, second.sequence);
    CPPUNIT_ASSERT_EQUAL(kStartMs + 2 * kPeriodMs, second.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, second.services.at(0).requests);
  }

  void TestMonthAndKey() {
    HostSummary summary{.host = "host-1", .incarnation = 42, .sequence = 7};
    CPPUNIT_ASSERT_EQUAL(std::string("summary/1970-01/host-1-42/7"), summary.Key());
    summary.started_at_ms = kStartMs;
    CPPUNIT_ASSERT_EQUAL(std::string("summary/2026-12/host-1-42/7"), summary.Key());
    // 2027-01-01T00:00:00Z
    summary.started_at_ms = 1'798'761'600'000;
    CPPUNIT_ASSERT_EQUAL(std::string("2027-01"), summary.Month());
    --summary.started_at_ms;
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12"), summary.Month());
    CPPUNIT_ASSERT(IsMonth("2026-12") && IsMonth("2026-01"));
    for (const char* text :
         {"", "2026-13", "2026-00", "2026-1", "2026/12", "20x6-12", "2026-12-"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !IsMonth(text));
    }
  }

  // Guards against a field that is written, but not read back.
  void TestJsonRoundTrip() {
    const HostSummary summary = Filled(3);
    Error error;
    CPPUNIT_ASSERT(summary == SummaryFromJson(SummaryToJson(summary), error));
    CPPUNIT_ASSERT(error == Error());
  }

  // Guards against damaged objects that crash the report or enter its sums with
  // impossible values.
  void TestMutatedJson() {
    const json original = json::parse(SummaryToJson(Filled(3)));
    CheckProperty("mutated summaries", 2000, [&] {
      json document = original;
      json* place = &document;
      while (place->is_structured() && !place->empty() && *rc::gen::inRange(0, 5) != 0) {
        auto child = place->begin();
        std::advance(child, *rc::gen::inRange(0, static_cast<int>(place->size())));
        place = &*child;
      }
      *place = *rc::gen::element<json>(nullptr, -1, 1.5, "x", json::array(), json::object(), true,
                                       UINT64_MAX, json::array({json::array({1, 2})}));
      Error error;
      const auto summary = SummaryFromJson(document.dump(), error);
      RC_ASSERT(summary.has_value() || error.code == ErrorCode::kProtocol);
      if (summary) {
        RC_ASSERT(SummaryFromJson(SummaryToJson(*summary), error) == summary);
        MonthlyReportBuilder builder(summary->Month());
        builder.Add(*summary);
        RC_ASSERT(!ReportToText(builder.Build()).empty());
      }
    });
  }

  // Guards against totals that grow when a listing names an object twice or a
  // report is read in overlapping pages.
  void TestSummaryReadTwiceCountsOnce() {
    MonthlyReportBuilder builder("2026-12");
    const HostSummary summary = Filled(0);
    CPPUNIT_ASSERT(builder.Add(summary));
    CPPUNIT_ASSERT(!builder.Add(summary));
    CPPUNIT_ASSERT(!builder.AddObject(summary.Key(), SummaryToJson(summary)));
    HostSummary other_process = summary;
    other_process.incarnation = 43;
    CPPUNIT_ASSERT(builder.AddObject(other_process.Key(), SummaryToJson(other_process)));
    const MonthlyReport report = builder.Build();
    CPPUNIT_ASSERT_EQUAL(2 * summary.services[0].requests, report.services.at(0).requests);
    CPPUNIT_ASSERT_EQUAL(2 * summary.services[0].short_latency.count(),
                         report.services.at(0).short_latency.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report.hosts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.incarnations);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.unreadable);
  }

  // Guards against a report that looks complete although summaries are missing.
  void TestMissingPeriodsAndForeignObjects() {
    MonthlyReportBuilder builder("2026-12");
    builder.Add(Filled(4));
    builder.Add(Filled(9));
    HostSummary joined = Filled(7);
    joined.first_sequence = 6;
    builder.Add(joined);
    CPPUNIT_ASSERT(!builder.AddObject("summary/2026-12/host-1-42/8", "{}"));
    CPPUNIT_ASSERT(!builder.AddObject("summary/2026-12/host-2-42/8", SummaryToJson(Filled(8))));
    HostSummary other_month = Filled(8);
    other_month.started_at_ms = 0;
    CPPUNIT_ASSERT(!builder.Add(other_month));
    const MonthlyReport report = builder.Build();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, report.periods);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.missing_periods);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.unreadable);
  }

  // Guards against a figure that readers take for more than it is.
  void TestReportStatesWhatIsNotKnown() {
    MonthlyReportBuilder builder("2026-12");
    builder.Add(Filled(0));
    const std::string text = ReportToText(builder.Build());
    for (const char* part : {"month 2026-12: 1 hosts", "service parts", "claim row", "attempt",
                             "Not known:", "without an idempotency key", "blocking"}) {
      CPPUNIT_ASSERT_MESSAGE(part, text.find(part) != std::string::npos);
    }
    const json report = json::parse(ReportToJson(builder.Build()));
    CPPUNIT_ASSERT_EQUAL(std::string("parts"), report["services"][0]["service"].get<std::string>());
    CPPUNIT_ASSERT(report["services"][0]["short_ms"]["p99"].get<double>() >= 20.0);
    CPPUNIT_ASSERT(report["services"][0]["peak_ms"]["p99"].is_null());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, report["not_known"].size());
    CPPUNIT_ASSERT(MonthlyReportBuilder("2026-12").Build().services.empty());
  }

  // Guards against counts that an outage of the object store erases.
  void TestWriterKeepsSummariesDuringOutage() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    for (std::uint64_t sequence = 0; sequence < 10; ++sequence) {
      writer.Add(Filled(sequence));
      writer.Tick(At(static_cast<std::int64_t>(60 * sequence)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, writer.unwritten());
    CPPUNIT_ASSERT(writer.last_error().code == ErrorCode::kUnknownOutcome);
    store.is_down = false;
    for (int tick = 0; tick < 10; ++tick) {
      writer.Tick(At(1000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, writer.unwritten());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, store.objects.size());
    CPPUNIT_ASSERT_EQUAL(10 * Filled(0).services[0].requests, RequestsIn(store));
  }

  // Guards against memory that grows with the outage, and against counts that
  // the limit throws away.
  void TestWriterJoinsBeyondItsLimit() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    constexpr std::uint64_t kPeriods = 500;
    for (std::uint64_t sequence = 0; sequence < kPeriods; ++sequence) {
      writer.Add(Filled(sequence));
      writer.Tick(At(static_cast<std::int64_t>(60 * sequence)));
      CPPUNIT_ASSERT(writer.unwritten() <= SummaryWriter::kMaxUnwritten);
    }
    store.is_down = false;
    for (int tick = 0; tick < 100; ++tick) {
      writer.Tick(At(100'000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, store.objects.size());
    CPPUNIT_ASSERT_EQUAL(kPeriods * Filled(0).services[0].requests, RequestsIn(store));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.dropped());
  }

  // Guards against double counts: a summary whose write took effect with a lost
  // answer must not be joined into another one.
  void TestLostAnswerIsNotJoined() {
    MockObjectStore store;
    store.loses_answers = true;
    SummaryWriter writer(store);
    for (std::uint64_t sequence = 0; sequence < 200; ++sequence) {
      writer.Add(Filled(sequence));
      writer.Tick(At(static_cast<std::int64_t>(60 * sequence)));
    }
    store.loses_answers = false;
    for (int tick = 0; tick < 100; ++tick) {
      writer.Tick(At(100'000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, writer.unwritten());
    CPPUNIT_ASSERT_EQUAL(200 * Filled(0).services[0].requests, RequestsIn(store));
  }

  // Guards against a busy loop of writes against a store that is down.
  void TestWriterRetryInterval() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    writer.Add(Filled(0));
    for (int tenth = 0; tenth < 100; ++tenth) {
      writer.Tick(TimePoint(std::chrono::milliseconds(100 * tenth)));
    }
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  // Guards against a callback into a writer that no longer exists, and against
  // two writes at once.
  void TestLateAnswerAfterWriterIsGone() {
    MockObjectStore store;
    store.answers_later = true;
    {
      SummaryWriter writer(store);
      writer.Add(Filled(0));
      writer.Tick(At(0));
      writer.Tick(At(100));
      CPPUNIT_ASSERT_EQUAL(1, store.puts);
    }
    store.Answer();
  }

 private:
  static SummaryRecorder Recorder() { return SummaryRecorder("host-1", 42, kStartMs); }

  static HostSummary Filled(std::uint64_t sequence) {
    SummaryRecorder recorder = Recorder();
    for (int index = 1; index <= 5; ++index) {
      recorder.OnRequest({.service = "parts",
                          .outcome = Outcome::kTarget,
                          .attempts = 1,
                          .possible_runs = 1,
                          .latency = std::chrono::milliseconds(4 * index)});
    }
    recorder.OnRequest({.service = "parts", .outcome = Outcome::kNotRun});
    recorder.OnRequest({.service = "stock", .outcome = Outcome::kUnknown, .attempts = 1});
    HostSummary summary = *recorder.Close(kStartMs + kPeriodMs);
    summary.first_sequence = sequence;
    summary.sequence = sequence;
    return summary;
  }

  static std::uint64_t RequestsIn(const MockObjectStore& store) {
    MonthlyReportBuilder builder("2026-12");
    for (const auto& [key, content] : store.objects) {
      CPPUNIT_ASSERT(builder.AddObject(key, content));
    }
    const MonthlyReport report = builder.Build();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.missing_periods);
    return report.services.at(0).requests;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SummaryTest);

}  // namespace
}  // namespace pimentopin

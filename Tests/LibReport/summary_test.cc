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

TimePoint AtSecond(std::int64_t seconds) {
  return TimePoint(std::chrono::seconds(seconds));
}

class SummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SummaryTest);
  CPPUNIT_TEST(TestRecorderCountsEachOutcomeOnce);
  CPPUNIT_TEST(TestDoubledRequests);
  CPPUNIT_TEST(TestHealthEvents);
  CPPUNIT_TEST(TestPeriods);
  CPPUNIT_TEST(TestMonthAndKey);
  CPPUNIT_TEST(TestJsonRoundTrip);
  CPPUNIT_TEST(TestMutatedJson);
  CPPUNIT_TEST(TestDuplicateSummaryCountsOnce);
  CPPUNIT_TEST(TestMissingPeriodsAndInvalidObjects);
  CPPUNIT_TEST(TestReportStatesWhatItDoesNotCover);
  CPPUNIT_TEST(TestWriterKeepsSummariesDuringOutage);
  CPPUNIT_TEST(TestWriterMergesBeyondItsLimit);
  CPPUNIT_TEST(TestDroppedSummaryIsReported);
  CPPUNIT_TEST(TestSummaryWithLostResponseIsNotMerged);
  CPPUNIT_TEST(TestWriterRetryInterval);
  CPPUNIT_TEST(TestEndingHostLosesItsReportAfterAFailedWrite);
  CPPUNIT_TEST(TestLateResponseAfterWriterIsDestroyed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are counted under no outcome or under two, and
  // against latencies of requests that were not completed.
  void TestRecorderCountsEachOutcomeOnce() {
    SummaryRecorder recorder = MakeRecorder();
    RequestRecord request{.service = "parts",
                          .outcome = Outcome::kTarget,
                          .idempotent = true,
                          .attempts = 1,
                          .possible_runs = 1,
                          .latency = std::chrono::milliseconds(20)};
    recorder.OnRequest(request);
    request.late = true;
    request.in_demand_peak = true;
    request.arrived_during_long_work = true;
    request.attempts = 3;
    request.possible_runs = 2;
    recorder.OnRequest(request);
    request = {.service = "parts",
               .work_class = WorkClass::kLong,
               .outcome = Outcome::kTarget,
               .attempts = 1,
               .latency = std::chrono::seconds(1),
               .in_demand_peak = true,
               .arrived_during_long_work = true};
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

  // Guards against a repeated run of a non-idempotent request that is not counted,
  // and against counting retries of shed attempts or of idempotent requests.
  void TestDoubledRequests() {
    SummaryRecorder recorder = MakeRecorder();
    RequestRecord booking{
        .service = "booking", .outcome = Outcome::kTarget, .attempts = 2, .possible_runs = 2};
    recorder.OnRequest(booking);
    booking.possible_runs = 1;
    recorder.OnRequest(booking);
    booking.possible_runs = 2;
    booking.idempotent = true;
    recorder.OnRequest(booking);
    recorder.OnClaimByOtherAttempt("booking");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, recorder.Close(kStartMs + 1)->services.at(0).doubled);
  }

  // Guards against false ejections that are not counted, and against counting a
  // target that returned late or was reinstated to keep the capacity floor.
  void TestHealthEvents() {
    SummaryRecorder recorder = MakeRecorder();
    const auto event = [](int second, std::uint64_t target, HealthEventKind kind) {
      return HealthEvent{.at = AtSecond(second),
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

  // Guards against requests that are counted in two periods, and against a host
  // without requests that stores a summary every minute.
  void TestPeriods() {
    SummaryRecorder recorder = MakeRecorder();
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

  // Guards against a field that is written but not read back.
  void TestJsonRoundTrip() {
    const HostSummary summary = MakeSummary(3);
    Error error;
    CPPUNIT_ASSERT(summary == SummaryFromJson(SummaryToJson(summary), error));
    CPPUNIT_ASSERT(error == Error());
  }

  // Guards against damaged objects that crash the report or add invalid values to
  // its sums.
  void TestMutatedJson() {
    const json original = json::parse(SummaryToJson(MakeSummary(3)));
    CheckProperty("mutated summaries", 2000, [&] {
      json document = original;
      json* node = &document;
      while (node->is_structured() && !node->empty() && *rc::gen::inRange(0, 5) != 0) {
        auto child = node->begin();
        std::advance(child, *rc::gen::inRange(0, static_cast<int>(node->size())));
        node = &*child;
      }
      *node = *rc::gen::element<json>(nullptr, -1, 1.5, "x", json::array(), json::object(), true,
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

  // Guards against counting a summary twice when a listing contains its key twice
  // or pages overlap.
  void TestDuplicateSummaryCountsOnce() {
    MonthlyReportBuilder builder("2026-12");
    const HostSummary summary = MakeSummary(0);
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

  // Guards against a report that does not show missing or invalid summaries.
  void TestMissingPeriodsAndInvalidObjects() {
    MonthlyReportBuilder builder("2026-12");
    builder.Add(MakeSummary(4));
    builder.Add(MakeSummary(9));
    HostSummary merged = MakeSummary(7);
    merged.first_sequence = 6;
    builder.Add(merged);
    CPPUNIT_ASSERT(!builder.AddObject("summary/2026-12/host-1-42/8", "{}"));
    CPPUNIT_ASSERT(
        !builder.AddObject("summary/2026-12/host-2-42/8", SummaryToJson(MakeSummary(8))));
    HostSummary other_month = MakeSummary(8);
    other_month.started_at_ms = 0;
    CPPUNIT_ASSERT(!builder.Add(other_month));
    const MonthlyReport report = builder.Build();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, report.periods);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.missing_periods);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.unreadable);
  }

  // Guards against a report that does not state what its figures do not cover.
  void TestReportStatesWhatItDoesNotCover() {
    MonthlyReportBuilder builder("2026-12");
    builder.Add(MakeSummary(0));
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

  // Guards against counts that are lost while the object store is unavailable.
  void TestWriterKeepsSummariesDuringOutage() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    for (std::uint64_t sequence = 0; sequence < 10; ++sequence) {
      writer.Add(MakeSummary(sequence));
      writer.Tick(AtSecond(static_cast<std::int64_t>(60 * sequence)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, writer.pending_writes());
    CPPUNIT_ASSERT(writer.last_error().code == ErrorCode::kUnknownOutcome);
    store.is_down = false;
    for (int tick = 0; tick < 10; ++tick) {
      writer.Tick(AtSecond(1000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, writer.pending_writes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, store.objects.size());
    CPPUNIT_ASSERT_EQUAL(10 * MakeSummary(0).services[0].requests, CountRequests(store));
  }

  // Guards against memory use that grows with the duration of an outage, and
  // against counts that are lost when the limit is reached.
  void TestWriterMergesBeyondItsLimit() {
    MockObjectStore store;
    store.is_down = true;
    int dropped = 0;
    SummaryWriter writer(store, [&](const HostSummary&) { ++dropped; });
    constexpr std::uint64_t kPeriodCount = 500;
    for (std::uint64_t sequence = 0; sequence < kPeriodCount; ++sequence) {
      writer.Add(MakeSummary(sequence));
      writer.Tick(AtSecond(static_cast<std::int64_t>(60 * sequence)));
      CPPUNIT_ASSERT(writer.pending_writes() <= SummaryWriter::kMaxPendingWrites);
    }
    store.is_down = false;
    for (int tick = 0; tick < 100; ++tick) {
      writer.Tick(AtSecond(100'000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, store.objects.size());
    CPPUNIT_ASSERT_EQUAL(kPeriodCount * MakeSummary(0).services[0].requests, CountRequests(store));
    CPPUNIT_ASSERT_EQUAL(0, dropped);
  }

  // Guards against counts that are missing from the report without a trace: summaries of different
  // months cannot be merged.
  void TestDroppedSummaryIsReported() {
    MockObjectStore store;
    store.is_down = true;
    std::vector<HostSummary> dropped;
    SummaryWriter writer(store, [&](const HostSummary& summary) { dropped.push_back(summary); });
    constexpr std::uint64_t kMonthMs = 31ULL * 24 * 3600 * 1000;
    for (std::uint64_t sequence = 0; sequence <= SummaryWriter::kMaxPendingWrites; ++sequence) {
      HostSummary summary = MakeSummary(sequence);
      summary.started_at_ms = kStartMs + sequence * kMonthMs;
      writer.Add(summary);
      writer.Tick(AtSecond(static_cast<std::int64_t>(60 * sequence)));
    }
    CPPUNIT_ASSERT_EQUAL(SummaryWriter::kMaxPendingWrites, writer.pending_writes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dropped.size());
    // The write of summary 0 was started, so it may be stored.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, dropped[0].sequence);
    CPPUNIT_ASSERT(dropped[0].services == MakeSummary(1).services);
  }

  // Guards against requests that are counted twice because a summary was stored,
  // the response to its write was lost, and it was then merged into another one.
  void TestSummaryWithLostResponseIsNotMerged() {
    MockObjectStore store;
    store.loses_responses = true;
    SummaryWriter writer(store);
    for (std::uint64_t sequence = 0; sequence < 200; ++sequence) {
      writer.Add(MakeSummary(sequence));
      writer.Tick(AtSecond(static_cast<std::int64_t>(60 * sequence)));
    }
    store.loses_responses = false;
    for (int tick = 0; tick < 100; ++tick) {
      writer.Tick(AtSecond(100'000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, writer.pending_writes());
    CPPUNIT_ASSERT_EQUAL(200 * MakeSummary(0).services[0].requests, CountRequests(store));
  }

  // Guards against writes to an unavailable store without a delay between them.
  void TestWriterRetryInterval() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    writer.Add(MakeSummary(0));
    for (int tenth = 0; tenth < 100; ++tenth) {
      writer.Tick(TimePoint(std::chrono::milliseconds(100 * tenth)));
    }
    CPPUNIT_ASSERT_EQUAL(2, store.puts);
  }

  // Guards against a report that lacks the last periods of a host that ends soon after a write has
  // failed: the host waits for the writes, but not as long as for the next try.
  void TestEndingHostLosesItsReportAfterAFailedWrite() {
    MockObjectStore store;
    store.is_down = true;
    SummaryWriter writer(store);
    writer.Add(MakeSummary(0));
    writer.Tick(AtSecond(0));
    store.is_down = false;
    writer.Add(MakeSummary(1));
    for (int tick = 1; tick <= 50; ++tick) {
      writer.Flush(AtSecond(0) + std::chrono::milliseconds(10 * tick));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, writer.pending_writes());
    CPPUNIT_ASSERT_EQUAL(3, store.puts);
    // A store that stays unavailable is not flooded.
    store.is_down = true;
    writer.Add(MakeSummary(2));
    for (int tick = 0; tick < 50; ++tick) {
      writer.Flush(AtSecond(1) + std::chrono::milliseconds(10 * tick));
    }
    CPPUNIT_ASSERT_EQUAL(3 + 5, store.puts);
  }

  // Guards against a callback that uses a destroyed writer, and against two
  // concurrent writes.
  void TestLateResponseAfterWriterIsDestroyed() {
    MockObjectStore store;
    store.delays_responses = true;
    {
      SummaryWriter writer(store);
      writer.Add(MakeSummary(0));
      writer.Tick(AtSecond(0));
      writer.Tick(AtSecond(100));
      CPPUNIT_ASSERT_EQUAL(1, store.puts);
    }
    store.DeliverResponses();
  }

 private:
  static SummaryRecorder MakeRecorder() { return SummaryRecorder("host-1", 42, kStartMs); }

  static HostSummary MakeSummary(std::uint64_t sequence) {
    SummaryRecorder recorder = MakeRecorder();
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

  static std::uint64_t CountRequests(const MockObjectStore& store) {
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

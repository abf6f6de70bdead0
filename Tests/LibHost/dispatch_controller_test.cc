#include "Libraries/LibHost/dispatch_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibHost/native_dialect.h"
#include "Libraries/LibIdempotency/claim_row.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Later than any limit in the tests, and earlier than the time limit of a claim.
constexpr Duration kAnswerTimeout = milliseconds(1000);

// Never replies.
class SilentTable : public TableStore {
 public:
  void Read(const std::string& /*key*/, ReadCallback /*callback*/) override {}
  void Write(std::vector<ConditionalWrite> writes, WriteCallback /*callback*/) override {
    for (ConditionalWrite& write : writes) {
      this->rows.push_back(ParseClaimRow(write.value).value());
    }
  }

  std::vector<ClaimRow> rows;
};

class RecordingResponder : public HttpResponder {
 public:
  void Start(int /*status*/, HttpHeaders /*headers*/) override {}
  void Write(std::string /*bytes*/, std::function<void()> /*written*/) override {}
  void End() override {}
  void Abort() override {}
  void Respond(int code, HttpHeaders response_headers, std::string /*body*/) override {
    this->status = code;
    this->headers = std::move(response_headers);
  }
  void Replace(int /*status*/, HttpHeaders /*headers*/, std::string /*body*/) override {}
  void OnCallerDisconnect(std::function<void()> /*callback*/) override {}

  int status = 0;
  HttpHeaders headers;
};

class DispatchControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchControllerTest);
  CPPUNIT_TEST(TestKeyedRequestWaitsForItsClaimBeyondItsDeadline);
  CPPUNIT_TEST(TestKeyedRequestWaitsForItsClaimBeyondTheEndOfTheHost);
  CPPUNIT_TEST(TestKeyIsClaimedAfterTheEndOfTheHost);
  CPPUNIT_TEST(TestClaimTimeoutIsTakenForADeadline);
  CPPUNIT_TEST(TestRequestAboveTheQuotaIsRun);
  CPPUNIT_TEST(TestRequestWithUnknownQuotaIsRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Error error;
    this->quota_decision = QuotaDecision::kAdmitted;
    this->loop = std::make_unique<ControlLoop>();
    this->shared_state = std::make_unique<SharedState>();
    this->table = std::make_unique<SilentTable>();
    this->responder = std::make_shared<RecordingResponder>();
    this->finished.reset();
    this->peers = PeerNetwork::Create(
        this->loop->context(), "127.0.0.1:0", HostId{1}, DomainId{1}, [](const Envelope&) {},
        error);
    CPPUNIT_ASSERT(this->peers);
    this->claims_alarm = this->loop->CreateAlarm([this] { this->claims->Tick(SteadyNow()); });
    this->claims = std::make_unique<ClaimStore>(
        *this->table, [this](TimePoint when) { this->claims_alarm->Set(when); },
        [](const ClaimKey&, AttemptId) {}, [](const ClaimKey&, const Findings&) {});
    this->controller = std::make_unique<DispatchController>(
        *this->loop, *this->shared_state, *this->peers, *this->claims, this->random,
        DispatchController::Settings{
            .self = HostId{1},
            .host_name = "host-1",
            .domain_name = "zone-a",
            .dialect = std::make_shared<NativeDialect>(),
            .on_finished = [this](const FinishedRequest& request) { this->finished = request; },
            .on_health_event = [](ServiceId, const HealthEvent&) {},
            .on_speed_change = [](ServiceId, const SpeedChange&) {},
            .on_new_notice = [] {},
            .admit =
                [this](const Exchange& exchange, const auto& decided) {
                  decided({exchange.description.request, this->quota_decision, milliseconds(1500)});
                }});
  }
  void tearDown() override {
    this->controller.reset();
    this->claims.reset();
    this->claims_alarm.reset();
    this->peers.reset();
    this->loop.reset();
  }

  // Guards against an answer that comes after the caller has given up, and against a key that stays
  // claimed then.
  void TestKeyedRequestWaitsForItsClaimBeyondItsDeadline() {
    this->Submit(milliseconds(300));
    this->RunUntilFinished(kAnswerTimeout);
    this->AssertNotRun("deadline", 504);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), this->finished->refusal);
    CPPUNIT_ASSERT(this->finished->latency >= milliseconds(300));
    this->AssertKeyIsReleased();
  }

  // Guards against a connection that is closed without an answer while its request waits for the
  // claim of its key.
  void TestKeyedRequestWaitsForItsClaimBeyondTheEndOfTheHost() {
    this->Submit(seconds(10));
    this->controller->SetHostEnd(this->EndIn(milliseconds(200)));
    this->RunUntilFinished(kAnswerTimeout);
    this->AssertNotRun("stopping", 503);
    CPPUNIT_ASSERT_EQUAL(std::string("host-end"), this->finished->refusal);
    CPPUNIT_ASSERT(this->finished->latency >= milliseconds(200));
    this->AssertKeyIsReleased();
  }

  // Guards against a claim that a host about to end can hardly release.
  void TestKeyIsClaimedAfterTheEndOfTheHost() {
    this->controller->SetHostEnd(this->EndIn(milliseconds(0)));
    this->Submit(seconds(10));
    this->RunUntilFinished(milliseconds(50));
    this->AssertNotRun("stopping", 503);
    CPPUNIT_ASSERT(this->table->rows.empty());
  }

  // Guards against blaming the caller's deadline or the end of the host for a table that does not
  // reply.
  void TestClaimTimeoutIsTakenForADeadline() {
    this->controller->SetHostEnd(this->EndIn(seconds(10)));
    this->Submit(seconds(10));
    this->RunUntilFinished(ClaimStore::kClaimTimeout + kAnswerTimeout);
    this->AssertNotRun("claim-unavailable", 503);
    CPPUNIT_ASSERT_EQUAL(std::string(), this->finished->refusal);
    this->AssertKeyIsReleased();
  }

  void TestRequestAboveTheQuotaIsRun() {
    this->quota_decision = QuotaDecision::kOverQuota;
    this->Submit(seconds(10));
    this->AssertNotRun("quota", 429);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         std::string(FindHeader(this->responder->headers, "Retry-After")));
    CPPUNIT_ASSERT(this->table->rows.empty());
  }

  void TestRequestWithUnknownQuotaIsRun() {
    this->quota_decision = QuotaDecision::kUnknown;
    this->Submit(seconds(10));
    this->AssertNotRun("quota-unknown", 503);
    CPPUNIT_ASSERT(this->table->rows.empty());
  }

 private:
  HostEnd EndIn(Duration delay) const {
    return {.last_start = SteadyNow() + delay, .last_answer = SteadyNow() + delay};
  }
  // Submits a request with an idempotency key.
  void Submit(Duration remaining) {
    auto exchange = std::make_shared<Exchange>();
    exchange->responder = this->responder;
    exchange->request_id = "request-1";
    exchange->claim_key = ClaimKey{"booking", "wheels", "k"};
    exchange->arrived = SteadyNow();
    exchange->description.deadline = exchange->arrived + remaining;
    this->controller->Submit(std::move(exchange));
  }
  void RunUntilFinished(Duration timeout) {
    const TimePoint end = SteadyNow() + timeout;
    while (!this->finished && SteadyNow() < end) {
      this->loop->context().run_one_for(milliseconds(10));
    }
  }
  void AssertNotRun(const std::string& reason, int status) const {
    CPPUNIT_ASSERT(this->finished);
    CPPUNIT_ASSERT(this->finished->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(reason, this->finished->reason);
    CPPUNIT_ASSERT_EQUAL(status, this->finished->status);
    CPPUNIT_ASSERT_EQUAL(status, this->responder->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         std::string(FindHeader(this->responder->headers, kOutcomeHeader)));
  }
  void AssertKeyIsReleased() {
    const TimePoint end = SteadyNow() + kAnswerTimeout;
    while (this->table->rows.size() < 2 && SteadyNow() < end) {
      this->loop->context().run_one_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->table->rows.size());
    CPPUNIT_ASSERT(this->table->rows[0].state == ClaimState::kClaimed);
    CPPUNIT_ASSERT(this->table->rows[1].state == ClaimState::kReleased);
  }

  RandomSource random{1};
  std::unique_ptr<ControlLoop> loop;
  std::unique_ptr<SharedState> shared_state;
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<SilentTable> table;
  std::unique_ptr<Alarm> claims_alarm;
  std::unique_ptr<ClaimStore> claims;
  std::unique_ptr<DispatchController> controller;
  std::shared_ptr<RecordingResponder> responder;
  std::optional<FinishedRequest> finished;
  QuotaDecision quota_decision = QuotaDecision::kAdmitted;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchControllerTest);

}  // namespace
}  // namespace pimentopin

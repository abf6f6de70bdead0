#include "Libraries/LibHost/attempt_transfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <optional>

#include "Libraries/LibHost/error_answer.h"
#include "Libraries/LibHost/own_dialect.h"

namespace pimentopin {
namespace {

constexpr std::size_t kChunkBytes = 100 * 1024;
// sha-256 of "hello" in base64.
constexpr char kHelloDigest[] = "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:";

class FakeTransfer : public Transfer {
 public:
  void Cancel() override { this->cancelled = true; }
  void Pause() override { this->paused = true; }
  void Resume() override { this->paused = false; }

  bool cancelled = false;
  bool paused = false;
};

class FakeClient : public HttpClient {
 public:
  std::shared_ptr<Transfer> Start(HttpClientRequest sent, TransferCallbacks given) override {
    this->request = std::move(sent);
    this->hooks = std::move(given);
    return this->transfer;
  }

  HttpClientRequest request;
  TransferCallbacks hooks;
  std::shared_ptr<FakeTransfer> transfer = std::make_shared<FakeTransfer>();
};

class FakeResponder : public HttpResponder {
 public:
  void Start(int code, HttpHeaders sent) override {
    this->status = code;
    this->headers = std::move(sent);
  }
  void Write(std::string bytes, std::function<void()> callback) override {
    this->body += bytes;
    this->written.push_back(std::move(callback));
  }
  void End() override { this->ended = true; }
  void Abort() override { this->aborted = true; }
  void Respond(int code, HttpHeaders sent, std::string bytes) override {
    this->Start(code, std::move(sent));
    this->body = std::move(bytes);
    this->ended = true;
  }
  void OnCallerDisconnect(std::function<void()>) override {}

  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::deque<std::function<void()>> written;
  bool ended = false;
  bool aborted = false;
};

class AttemptTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptTransferTest);
  CPPUNIT_TEST(TestHoldsBytesUntilForwarded);
  CPPUNIT_TEST(TestShortAnswerIsReportedWhole);
  CPPUNIT_TEST(TestLargeAnswerIsForwardedAtOnce);
  CPPUNIT_TEST(TestBoundsBytesForSlowCaller);
  CPPUNIT_TEST(TestWrongDigestIsWrongAnswer);
  CPPUNIT_TEST(TestForeignAttemptIdIsWrongAnswer);
  CPPUNIT_TEST(TestShedIsRecognised);
  CPPUNIT_TEST(TestErrorsKeepWhetherSent);
  CPPUNIT_TEST(TestHopByHopFieldsStayOnTheirConnection);
  CPPUNIT_TEST(TestAnswerWithoutBody);
  CPPUNIT_TEST(TestLargeBodyIsNotStored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->exchange = std::make_shared<Exchange>();
    this->exchange->responder = this->responder;
    this->exchange->request = {.method = "POST",
                               .path = "/booking/x",
                               .headers = {{"Connection", "keep-alive"},
                                           {"Accept", "*/*"},
                                           {"Pimentopin-Attempt-Id", "forged"}},
                               .body = "payload"};
    this->exchange->caller = "desk";
    this->exchange->claim_key = ClaimKey{"booking", "wheels", "k"};
    this->StartTransfer();
  }

  // Guards against an answer that a retry would replace, but that the caller
  // has already begun to receive.
  void TestHoldsBytesUntilForwarded() {
    this->Hooks().on_headers(200, {{"X-A", "1"}});
    this->Hooks().on_body("hel");
    CPPUNIT_ASSERT_EQUAL(0, this->responder->status);
    this->transfer->Forward();
    CPPUNIT_ASSERT_EQUAL(200, this->responder->status);
    CPPUNIT_ASSERT_EQUAL(std::string("hel"), this->responder->body);
    this->Hooks().on_body("lo");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->responder->body);
    CPPUNIT_ASSERT(!this->responder->ended);
    this->Hooks().on_end({.may_have_been_sent = true});
    this->transfer->FinishAnswer();
    CPPUNIT_ASSERT(this->responder->ended);
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Pimentopin-Outcome") == "target");
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "X-A") == "1");
  }

  // Guards against an answer that is cut after its start has reached the caller,
  // although it is short enough to be held until it is whole.
  void TestShortAnswerIsReportedWhole() {
    this->Hooks().on_headers(200, {{"Content-Length", "5"}, {"X-A", "1"}});
    this->Hooks().on_body("hel");
    CPPUNIT_ASSERT(!this->header.has_value());
    this->Hooks().on_body("lo");
    this->Hooks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kSuccess);
    this->transfer->Forward();
    CPPUNIT_ASSERT_EQUAL(0, this->responder->status);
    this->transfer->FinishAnswer();
    CPPUNIT_ASSERT_EQUAL(200, this->responder->status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->responder->body);
    CPPUNIT_ASSERT(this->responder->ended);
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "X-A") == "1");
  }

  // Guards against a large answer that waits for room that never comes.
  void TestLargeAnswerIsForwardedAtOnce() {
    this->Hooks().on_headers(200, {{"Content-Length", "100000000"}});
    CPPUNIT_ASSERT(this->header.has_value());
  }

  // Guards against memory that grows with a large answer to a slow caller.
  void TestBoundsBytesForSlowCaller() {
    this->Hooks().on_headers(200, {});
    this->transfer->Forward();
    for (int chunk = 0; chunk < 3; ++chunk) {
      this->Hooks().on_body(std::string(kChunkBytes, 'x'));
    }
    CPPUNIT_ASSERT(this->client.transfer->paused);
    while (!this->responder->written.empty()) {
      this->responder->written.front()();
      this->responder->written.pop_front();
    }
    CPPUNIT_ASSERT(!this->client.transfer->paused);
  }

  // Guards against a corrupted answer that passes for whole.
  void TestWrongDigestIsWrongAnswer() {
    CPPUNIT_ASSERT(this->ResultWithBody("hello", kHelloDigest) == AttemptResult::kSuccess);
    this->StartTransfer();
    CPPUNIT_ASSERT(this->ResultWithBody("hallo", kHelloDigest) == AttemptResult::kWrongAnswer);
  }

  // Guards against another attempt's answer reaching this caller.
  void TestForeignAttemptIdIsWrongAnswer() {
    this->Hooks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000008"}});
    CPPUNIT_ASSERT(this->header->wrong_attempt_id);
    this->Hooks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kWrongAnswer);
    this->StartTransfer();
    this->Hooks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000007"}});
    CPPUNIT_ASSERT(!this->header->wrong_attempt_id);
  }

  // Guards against a shed request that is reported as run, and the reverse.
  void TestShedIsRecognised() {
    this->Hooks().on_headers(503, {{"Target-Outcome", "not-run"}});
    CPPUNIT_ASSERT(this->header->shed);
    this->Hooks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kShed);
    this->StartTransfer();
    this->Hooks().on_headers(503, {});
    CPPUNIT_ASSERT(!this->header->shed);
    this->Hooks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kServerError);
  }

  // Guards against "not run" said of a request that may have been sent.
  void TestErrorsKeepWhetherSent() {
    this->Hooks().on_end({.error = TransferError::kConnectFailure});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kConnectFailure);
    CPPUNIT_ASSERT(!this->end.may_have_been_sent);
    this->StartTransfer();
    this->Hooks().on_end({.error = TransferError::kTimeout, .may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kTimeout);
    CPPUNIT_ASSERT(this->end.may_have_been_sent);
  }

  // Guards against a caller that forges this host's own fields, and against
  // fields of one connection that change the meaning of another.
  void TestHopByHopFieldsStayOnTheirConnection() {
    const HttpHeaders& sent = this->client.request.headers;
    CPPUNIT_ASSERT(FindHeader(sent, "Connection").empty());
    CPPUNIT_ASSERT(FindHeader(sent, "Accept") == "*/*");
    CPPUNIT_ASSERT(FindHeader(sent, "Pimentopin-Attempt-Id") == "0000000000000007");
    this->Hooks().on_headers(200, {{"Transfer-Encoding", "chunked"}, {"Content-Length", "5"}});
    this->transfer->Forward();
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Transfer-Encoding").empty());
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Content-Length").empty());
  }

  // Guards against a chunked body after a status that must not have one.
  void TestAnswerWithoutBody() {
    this->Hooks().on_headers(204, {});
    this->transfer->Forward();
    this->Hooks().on_end({.may_have_been_sent = true});
    this->transfer->FinishAnswer();
    CPPUNIT_ASSERT_EQUAL(204, this->responder->status);
    CPPUNIT_ASSERT(this->responder->ended);
  }

  // Guards against a cut body that is stored and later replayed as whole.
  void TestLargeBodyIsNotStored() {
    this->Hooks().on_headers(200, {});
    this->Hooks().on_body(std::string(ClaimLedger::kMaxStoredBodyBytes, 'x'));
    this->Hooks().on_body("y");
    this->Hooks().on_body("z");
    this->Hooks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(!this->transfer->TakeOutcome().body.has_value());
  }

 private:
  void StartTransfer() {
    this->header.reset();
    this->transfer = std::make_shared<AttemptTransfer>(
        this->exchange,
        TargetCall{.attempt = AttemptId{7}, .remaining = std::chrono::milliseconds(1500)},
        this->dialect,
        AttemptTransfer::Hooks{[this](const AttemptHeader& last) { this->header = last; },
                               [this](const AttemptEnd& last) { this->end = last; }});
    this->transfer->Start(this->client, "127.0.0.1:1");
  }

  AttemptResult ResultWithBody(const std::string& body, const std::string& digest) {
    this->Hooks().on_headers(200, {{"Content-Digest", digest}});
    this->Hooks().on_body(body);
    this->Hooks().on_end({.may_have_been_sent = true});
    return this->end.result;
  }

  TransferCallbacks& Hooks() { return this->client.hooks; }

  std::shared_ptr<FakeResponder> responder = std::make_shared<FakeResponder>();
  std::shared_ptr<Exchange> exchange;
  FakeClient client;
  std::shared_ptr<AttemptTransfer> transfer;
  OwnDialect dialect;
  // The last one that was reported.
  std::optional<AttemptHeader> header;
  AttemptEnd end;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTransferTest);

}  // namespace
}  // namespace pimentopin

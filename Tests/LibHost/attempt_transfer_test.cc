#include "Libraries/LibHost/attempt_transfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <deque>
#include <future>
#include <optional>

#include "Libraries/LibHost/error_response.h"
#include "Libraries/LibHost/native_dialect.h"
#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

constexpr std::size_t kChunkBytes = 100 * 1024;
// SHA-256 of "hello" in base64.
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
  std::shared_ptr<Transfer> Start(HttpClientRequest client_request,
                                  TransferCallbacks transfer_callbacks) override {
    this->request = std::move(client_request);
    this->callbacks = std::move(transfer_callbacks);
    return this->transfer;
  }

  HttpClientRequest request;
  TransferCallbacks callbacks;
  std::shared_ptr<FakeTransfer> transfer = std::make_shared<FakeTransfer>();
};

class FakeResponder : public HttpResponder {
 public:
  void Start(int code, HttpHeaders response_headers) override {
    this->status = code;
    this->headers = std::move(response_headers);
  }
  void Write(std::string bytes, std::function<void()> callback) override {
    this->body += bytes;
    this->write_callbacks.push_back(std::move(callback));
  }
  void End() override { this->ended = true; }
  void Abort() override { this->aborted = true; }
  void Respond(int code, HttpHeaders response_headers, std::string bytes) override {
    this->Start(code, std::move(response_headers));
    this->body = std::move(bytes);
    this->ended = true;
  }
  void Replace(int /*code*/, HttpHeaders /*headers*/, std::string /*bytes*/) override {
    this->Abort();
  }
  void OnCallerDisconnect(std::function<void()>) override {}

  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::deque<std::function<void()>> write_callbacks;
  bool ended = false;
  bool aborted = false;
};

// Takes every response for a shed one.
class SheddingDialect : public NativeDialect {
 public:
  TargetResponseInfo InterpretResponse(const Exchange& /*exchange*/,
                                       const TargetAttempt& /*attempt*/,
                                       const TargetResponseHead& /*head*/) const override {
    return {.shed = true};
  }
};

class AttemptTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptTransferTest);
  CPPUNIT_TEST(TestBuffersBytesUntilForwarded);
  CPPUNIT_TEST(TestShortResponseIsReportedWhenComplete);
  CPPUNIT_TEST(TestLargeResponseIsForwardedImmediately);
  CPPUNIT_TEST(TestLimitsBufferForSlowCaller);
  CPPUNIT_TEST(TestSlowCallersFillTheMemory);
  CPPUNIT_TEST(TestDigestMismatchIsRejected);
  CPPUNIT_TEST(TestMismatchedAttemptIdIsRejected);
  CPPUNIT_TEST(TestConnectionIsKeptAfterAResponseToAnotherRequest);
  CPPUNIT_TEST(TestHoldOffOfALateResponseIsObeyedAgain);
  CPPUNIT_TEST(TestShedResponseIsRecognised);
  CPPUNIT_TEST(TestShedShortResponseIsReportedAtHeader);
  CPPUNIT_TEST(TestHeaderDecidesResultOfCancelledBody);
  CPPUNIT_TEST(TestHeldBodyWithoutEndIsPaused);
  CPPUNIT_TEST(TestDiscardedBodyWithoutEndIsNotStored);
  CPPUNIT_TEST(TestMalformedResponseIsNoCrash);
  CPPUNIT_TEST(TestMalformedStatusIsBelieved);
  CPPUNIT_TEST(TestErrorsReportWhetherRequestWasSent);
  CPPUNIT_TEST(TestHopByHopHeadersAreNotForwarded);
  CPPUNIT_TEST(TestResponseWithoutBody);
  CPPUNIT_TEST(TestLargeBodyIsNotStored);
  CPPUNIT_TEST(TestAttemptsShareTheRequestBody);
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

  // Guards against sending the start of a response that a retry would have replaced.
  void TestBuffersBytesUntilForwarded() {
    this->Callbacks().on_headers(200, {{"X-A", "1"}});
    this->Callbacks().on_body("hel");
    CPPUNIT_ASSERT_EQUAL(0, this->responder->status);
    this->transfer->Forward();
    CPPUNIT_ASSERT_EQUAL(200, this->responder->status);
    CPPUNIT_ASSERT_EQUAL(std::string("hel"), this->responder->body);
    this->Callbacks().on_body("lo");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->responder->body);
    CPPUNIT_ASSERT(!this->responder->ended);
    this->Callbacks().on_end({.may_have_been_sent = true});
    this->transfer->FinishResponse();
    CPPUNIT_ASSERT(this->responder->ended);
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Pimentopin-Outcome") == "target");
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "X-A") == "1");
  }

  // Guards against sending the start of a short response that is then truncated.
  void TestShortResponseIsReportedWhenComplete() {
    this->Callbacks().on_headers(200, {{"Content-Length", "5"}, {"X-A", "1"}});
    this->Callbacks().on_body("hel");
    CPPUNIT_ASSERT(!this->header.has_value());
    this->Callbacks().on_body("lo");
    this->Callbacks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kSuccess);
    this->transfer->Forward();
    CPPUNIT_ASSERT_EQUAL(0, this->responder->status);
    this->transfer->FinishResponse();
    CPPUNIT_ASSERT_EQUAL(200, this->responder->status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->responder->body);
    CPPUNIT_ASSERT(this->responder->ended);
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "X-A") == "1");
  }

  // Guards against a deadlock: a large response cannot be buffered until it is complete.
  void TestLargeResponseIsForwardedImmediately() {
    this->Callbacks().on_headers(200, {{"Content-Length", "100000000"}});
    CPPUNIT_ASSERT(this->header.has_value());
  }

  // Guards against unbounded buffering of a large response to a slow caller.
  void TestLimitsBufferForSlowCaller() {
    this->Callbacks().on_headers(200, {});
    this->transfer->Forward();
    for (int chunk = 0; chunk < 3; ++chunk) {
      this->Callbacks().on_body(std::string(kChunkBytes, 'x'));
    }
    CPPUNIT_ASSERT(this->client.transfer->paused);
    while (!this->responder->write_callbacks.empty()) {
      this->responder->write_callbacks.front()();
      this->responder->write_callbacks.pop_front();
    }
    CPPUNIT_ASSERT(!this->client.transfer->paused);
  }

  // Guards against slow callers that together hold more than the budget, against one whose transfer
  // never resumes, and against bytes that are counted after their response has ended.
  void TestSlowCallersFillTheMemory() {
    constexpr std::size_t kBudget = 1 << 20;
    this->budget = std::make_shared<ResponseBudget>(kBudget);
    std::vector<std::shared_ptr<AttemptTransfer>> transfers;
    std::vector<std::shared_ptr<FakeTransfer>> connections;
    for (int caller = 0; caller < 20; ++caller) {
      this->client.transfer = std::make_shared<FakeTransfer>();
      this->StartTransfer();
      transfers.push_back(this->transfer);
      connections.push_back(this->client.transfer);
      this->Callbacks().on_headers(200, {});
      this->transfer->Forward();
      while (!connections.back()->paused) {
        this->Callbacks().on_body(std::string(4 << 10, 'x'));
      }
    }
    CPPUNIT_ASSERT(this->budget->held_bytes() < kBudget);
    CPPUNIT_ASSERT(this->budget->early_pauses() > 0);
    while (!this->responder->write_callbacks.empty()) {
      this->responder->write_callbacks.front()();
      this->responder->write_callbacks.pop_front();
    }
    for (const auto& connection : connections) {
      CPPUNIT_ASSERT(!connection->paused);
    }
    this->Callbacks().on_body(std::string(4 << 10, 'x'));
    CPPUNIT_ASSERT(this->budget->held_bytes() > 0);
    this->responder->write_callbacks.clear();
    this->client.callbacks = {};
    this->transfer.reset();
    transfers.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->budget->held_bytes());
  }

  // Guards against forwarding a corrupted body as complete.
  void TestDigestMismatchIsRejected() {
    CPPUNIT_ASSERT(this->ResultWithBody("hello", kHelloDigest) == AttemptResult::kSuccess);
    this->StartTransfer();
    CPPUNIT_ASSERT(this->ResultWithBody("hallo", kHelloDigest) == AttemptResult::kWrongAnswer);
  }

  // Guards against forwarding the response of another attempt to this caller.
  void TestMismatchedAttemptIdIsRejected() {
    CPPUNIT_ASSERT(this->client.request.echoed_id == "0000000000000007");
    this->Callbacks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000008"}});
    CPPUNIT_ASSERT(this->header->wrong_attempt_id);
    this->Callbacks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kWrongAnswer);
    this->StartTransfer();
    this->Callbacks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000007"}});
    CPPUNIT_ASSERT(!this->header->wrong_attempt_id);
  }

  // Guards against a connection on which the response to this request is still to come.
  void TestConnectionIsKeptAfterAResponseToAnotherRequest() {
    CPPUNIT_ASSERT(
        !this->Callbacks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000008"}}));
    this->StartTransfer();
    CPPUNIT_ASSERT(
        this->Callbacks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000007"}}));
    this->StartTransfer();
    CPPUNIT_ASSERT(this->Callbacks().on_headers(503, {{"Target-Outcome", "not-run"}}));
  }

  // Guards against healthy capacity that is left unused because a target repeats an old refusal.
  void TestHoldOffOfALateResponseIsObeyedAgain() {
    const HttpHeader retry_after{"Retry-After", "5"};
    this->Callbacks().on_headers(503, {retry_after, {"Pimentopin-Attempt-Id", "0000000000000008"}});
    CPPUNIT_ASSERT(this->header);
    CPPUNIT_ASSERT(this->header->retry_after == Duration::zero());
    this->StartTransfer();
    this->Callbacks().on_headers(503, {retry_after, {"Pimentopin-Attempt-Id", "0000000000000007"}});
    CPPUNIT_ASSERT(this->header->retry_after == std::chrono::seconds(5));
  }

  // Guards against reporting a shed request as run, or a server error as shed.
  void TestShedResponseIsRecognised() {
    this->Callbacks().on_headers(503, {{"Target-Outcome", "not-run"}});
    CPPUNIT_ASSERT(this->header->shed);
    this->Callbacks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kShed);
    this->StartTransfer();
    this->Callbacks().on_headers(503, {});
    CPPUNIT_ASSERT(!this->header->shed);
    this->Callbacks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kServerError);
  }

  // Guards against a retry that waits for the body of a response that is not forwarded.
  void TestShedShortResponseIsReportedAtHeader() {
    const SheddingDialect shedding_dialect;
    this->StartTransfer(shedding_dialect);
    this->Callbacks().on_headers(429, {{"Content-Length", "5"}});
    CPPUNIT_ASSERT(this->header.has_value());
    CPPUNIT_ASSERT(this->header->shed);
  }

  // Guards against counting a shed request as a possible run because its body was not read.
  void TestHeaderDecidesResultOfCancelledBody() {
    for (const TransferError error : {TransferError::kCancelled, TransferError::kMalformed,
                                      TransferError::kTruncated, TransferError::kTimeout}) {
      this->StartTransfer();
      this->Callbacks().on_headers(503, {{"Target-Outcome", "not-run"}});
      this->Callbacks().on_end({.error = error, .may_have_been_sent = true});
      CPPUNIT_ASSERT(this->end.result == AttemptResult::kShed);
      this->StartTransfer();
      this->Callbacks().on_headers(200, {{"Pimentopin-Attempt-Id", "0000000000000008"}});
      this->Callbacks().on_end({.error = error, .may_have_been_sent = true});
      CPPUNIT_ASSERT(this->end.result == AttemptResult::kWrongAnswer);
    }
  }

  // Guards against unbounded buffering of a server error that is held while a retry is placed.
  void TestHeldBodyWithoutEndIsPaused() {
    this->Callbacks().on_headers(500, {});
    for (int chunk = 0; chunk < 3; ++chunk) {
      CPPUNIT_ASSERT(!this->client.transfer->paused);
      this->Callbacks().on_body(std::string(kChunkBytes, 'x'));
    }
    CPPUNIT_ASSERT(this->client.transfer->paused);
    CPPUNIT_ASSERT_EQUAL(0, this->responder->status);
  }

  // Guards against unbounded buffering after the caller has left, and against a transfer that
  // stays paused then.
  void TestDiscardedBodyWithoutEndIsNotStored() {
    this->Callbacks().on_headers(200, {});
    for (int chunk = 0; chunk < 3; ++chunk) {
      this->Callbacks().on_body(std::string(kChunkBytes, 'x'));
    }
    this->transfer->DiscardBody();
    CPPUNIT_ASSERT(!this->client.transfer->paused);
    for (std::size_t size = 0; size <= ClaimStore::kMaxStoredBodyBytes; size += kChunkBytes) {
      this->Callbacks().on_body(std::string(kChunkBytes, 'x'));
    }
    CPPUNIT_ASSERT(!this->client.transfer->paused);
    CPPUNIT_ASSERT(this->responder->body.empty());
    this->Callbacks().on_end({.error = TransferError::kTimeout, .may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kTimeout);
    CPPUNIT_ASSERT(!this->transfer->TakeStoredResponse().body.has_value());
  }

  // Guards against taking a target that sends bytes that are no response for one that the request
  // has crashed.
  void TestMalformedResponseIsNoCrash() {
    this->Callbacks().on_end({.error = TransferError::kMalformed, .may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kWrongAnswer);
  }

  // Guards against a response whose status HTTP does not define that is forwarded, stored, or taken
  // for a refusal.
  void TestMalformedStatusIsBelieved() {
    const auto http_client = HttpClient::Create({});
    std::string believed;
    for (const std::string status : {"000 Unknown", "099 Unknown", "20 OK", "2000 OK", "-200 OK",
                                     "+200 OK", "0200 OK", "0503 Busy", "503x Busy", "5030 Busy",
                                     "abc", "OK", "", "101 Switch", "600 Unknown", "999 Unknown"}) {
      for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
        believed += this->BelievedOf(*http_client, before + "HTTP/1.1 " + status);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), believed);
  }

  // Guards against reporting a request as not run although it may have been sent.
  void TestErrorsReportWhetherRequestWasSent() {
    this->Callbacks().on_end({.error = TransferError::kConnectFailure});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kConnectFailure);
    CPPUNIT_ASSERT(!this->end.may_have_been_sent);
    this->StartTransfer();
    this->Callbacks().on_end({.error = TransferError::kTimeout, .may_have_been_sent = true});
    CPPUNIT_ASSERT(this->end.result == AttemptResult::kTimeout);
    CPPUNIT_ASSERT(this->end.may_have_been_sent);
  }

  // Guards against callers that forge headers of the host, and against forwarding the
  // headers of one connection to another.
  void TestHopByHopHeadersAreNotForwarded() {
    const HttpHeaders& sent = this->client.request.headers;
    CPPUNIT_ASSERT(FindHeader(sent, "Connection").empty());
    CPPUNIT_ASSERT(FindHeader(sent, "Accept") == "*/*");
    CPPUNIT_ASSERT(FindHeader(sent, "Pimentopin-Attempt-Id") == "0000000000000007");
    this->Callbacks().on_headers(200, {{"Transfer-Encoding", "chunked"}, {"Content-Length", "5"}});
    this->transfer->Forward();
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Transfer-Encoding").empty());
    CPPUNIT_ASSERT(FindHeader(this->responder->headers, "Content-Length").empty());
  }

  // Guards against a chunked body after a status that must not have a body.
  void TestResponseWithoutBody() {
    this->Callbacks().on_headers(204, {});
    this->transfer->Forward();
    this->Callbacks().on_end({.may_have_been_sent = true});
    this->transfer->FinishResponse();
    CPPUNIT_ASSERT_EQUAL(204, this->responder->status);
    CPPUNIT_ASSERT(this->responder->ended);
  }

  // Guards against storing a truncated body that would later be replayed as complete.
  void TestLargeBodyIsNotStored() {
    this->Callbacks().on_headers(200, {});
    this->Callbacks().on_body(std::string(ClaimStore::kMaxStoredBodyBytes, 'x'));
    this->Callbacks().on_body("y");
    this->Callbacks().on_body("z");
    this->Callbacks().on_end({.may_have_been_sent = true});
    CPPUNIT_ASSERT(!this->transfer->TakeStoredResponse().body.has_value());
  }

  // Guards against a copy of the body for each attempt, which may be large.
  void TestAttemptsShareTheRequestBody() {
    const std::string* const received = &this->exchange->request.body.text();
    CPPUNIT_ASSERT_EQUAL(std::string("payload"), this->client.request.body.text());
    CPPUNIT_ASSERT(received == &this->client.request.body.text());
    this->StartTransfer();
    CPPUNIT_ASSERT(received == &this->client.request.body.text());
  }

 private:
  // Answers an attempt with a refusal with this status line. Returns what was believed of it; empty
  // if the attempt ended as one whose response is unusable.
  std::string BelievedOf(HttpClient& http_client, const std::string& status_line) {
    asio::io_context context;
    RawServer server(context);
    std::atomic<bool> has_header = false;
    std::promise<AttemptEnd> ended;
    const auto attempt = std::make_shared<AttemptTransfer>(
        this->exchange,
        TargetAttempt{.attempt_id = AttemptId{7}, .remaining = std::chrono::seconds(20)},
        this->dialect, std::make_shared<ResponseBudget>(ResponseBudget::kDefaultMaxBytes),
        AttemptTransfer::Callbacks{[&](const AttemptHeader&) { has_header = true; },
                                   [&](const AttemptEnd& last) { ended.set_value(last); }});
    attempt->Start(http_client, server.address());
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(status_line +
                    "\r\nTarget-Outcome: not-run\r\nTarget-State: draining\r\n"
                    "Pimentopin-Attempt-Id: 0000000000000007\r\nContent-Length: 2\r\n\r\nok");
    const AttemptEnd last = ended.get_future().get();
    std::string believed;
    if (has_header) {
      believed += " header";
    }
    if (attempt->status_code() != 0 || attempt->TakeStoredResponse().body != "") {
      believed += " response " + std::to_string(attempt->status_code());
    }
    if (last.result != AttemptResult::kWrongAnswer || !last.may_have_been_sent ||
        last.target_draining) {
      believed += " end";
    }
    return believed.empty() ? "" : "\n" + status_line + ":" + believed;
  }

  void StartTransfer() { this->StartTransfer(this->dialect); }
  void StartTransfer(const HttpDialect& transfer_dialect) {
    this->header.reset();
    this->transfer = std::make_shared<AttemptTransfer>(
        this->exchange,
        TargetAttempt{.attempt_id = AttemptId{7}, .remaining = std::chrono::milliseconds(1500)},
        transfer_dialect, this->budget,
        AttemptTransfer::Callbacks{[this](const AttemptHeader& last) { this->header = last; },
                                   [this](const AttemptEnd& last) { this->end = last; }});
    this->transfer->Start(this->client, "127.0.0.1:1");
  }

  AttemptResult ResultWithBody(const std::string& body, const std::string& digest) {
    this->Callbacks().on_headers(200, {{"Content-Digest", digest}});
    this->Callbacks().on_body(body);
    this->Callbacks().on_end({.may_have_been_sent = true});
    return this->end.result;
  }

  TransferCallbacks& Callbacks() { return this->client.callbacks; }

  std::shared_ptr<FakeResponder> responder = std::make_shared<FakeResponder>();
  std::shared_ptr<Exchange> exchange;
  FakeClient client;
  std::shared_ptr<ResponseBudget> budget =
      std::make_shared<ResponseBudget>(ResponseBudget::kDefaultMaxBytes);
  std::shared_ptr<AttemptTransfer> transfer;
  NativeDialect dialect;
  // The most recently reported header.
  std::optional<AttemptHeader> header;
  AttemptEnd end;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTransferTest);

}  // namespace
}  // namespace pimentopin

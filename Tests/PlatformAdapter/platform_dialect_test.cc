#include "platform/platform_dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class PlatformDialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDialectTest);
  CPPUNIT_TEST(TestHeadersToTarget);
  CPPUNIT_TEST(TestKeyIsNeverForwarded);
  CPPUNIT_TEST(TestNotRunRequiresStatementOfTarget);
  CPPUNIT_TEST(TestUnsealedSuccessIsUnusable);
  CPPUNIT_TEST(TestLateResponseToAnotherRequestIsUnusable);
  CPPUNIT_TEST(TestSealedResponseWithoutRequestIdIsUnusable);
  CPPUNIT_TEST(TestRefusalOnKeptConnectionMustNameRequest);
  CPPUNIT_TEST(TestLateResponseWithoutIdIsThatOfARequestWithoutId);
  CPPUNIT_TEST(TestUnnamedFailureOnKeptConnectionIsForwarded);
  CPPUNIT_TEST(TestLeavingIsReadFromEveryResponse);
  CPPUNIT_TEST(TestRetryAfterOfTarget);
  CPPUNIT_TEST(TestOwnStatuses);
  CPPUNIT_TEST(TestMalformedLoadIsBelieved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->exchange.request.headers = {{"Host", "shop.example:80"},
                                      {"Connection", "keep-alive"},
                                      {"X-Pimentopin-Attempt-Id", "a1"},
                                      {"X-Pimentopin-Deadline-Ms", "9000"},
                                      {"X-Pimentopin-Expect-Instance", "forged"},
                                      {"Accept-Language", "en"}};
  }

  void TestMalformedLoadIsBelieved() {
    const auto load = [this](const char* text) {
      return this->Read(200, {{"X-Pimentopin-Backend-Load", text}}).load;
    };
    CPPUNIT_ASSERT((load("3,0,8") == TargetLoad{.running = 3, .waiting = 0, .slots = 8}));
    for (const char* text : {"", "3", "3,0", "3,0,8,1", "3, 0,8", "-1,0,8", "3,0,99999", "a,b,c"}) {
      CPPUNIT_ASSERT(!load(text));
    }
    CPPUNIT_ASSERT(!this->Read(200, {}).load);
  }

  // Guards against a target that works beyond the deadline of the caller, that runs a request with
  // an Expect-Instance header forged by the caller, or that receives a different Host header.
  void TestHeadersToTarget() {
    const HttpHeaders sent = this->dialect.TargetHeaders(
        this->exchange,
        {.instance = "i-7", .remaining = Duration(std::chrono::microseconds(1'234'900))});
    CPPUNIT_ASSERT(FindHeader(sent, "Host") == "shop.example:80");
    CPPUNIT_ASSERT(FindHeader(sent, "X-Pimentopin-Attempt-Id") == "a1");
    CPPUNIT_ASSERT(FindHeader(sent, "X-Pimentopin-Deadline-Ms") == "1234");
    CPPUNIT_ASSERT(FindHeader(sent, "X-Pimentopin-Expect-Instance") == "i-7");
    CPPUNIT_ASSERT(FindHeader(sent, "Accept-Language") == "en");
    CPPUNIT_ASSERT(FindHeader(sent, "Connection").empty());
  }

  // Guards against a target that learns a key, or that believes the tenant that a caller names.
  void TestKeyIsNeverForwarded() {
    this->exchange.request.headers.push_back({"x-pimentopin-credential", "key-1"});
    this->exchange.request.headers.push_back({"X-Pimentopin-Tenant", "forged"});
    this->exchange.request.headers.push_back({"x-pimentopin-TENANT", "forged"});
    this->exchange.organisation = "port-a";
    CPPUNIT_ASSERT(this->dialect.CallerCredential(this->exchange.request.headers) == "key-1");
    const auto sent_values = [this](std::string_view name) {
      std::vector<std::string> values;
      for (const HttpHeader& header : this->dialect.TargetHeaders(this->exchange, {})) {
        if (EqualHeaderNames(header.name, name)) {
          values.push_back(header.value);
        }
      }
      return values;
    };
    // Without keys in the configuration, the header has no meaning and is forwarded like any other.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent_values("X-Pimentopin-Tenant").size());
    CPPUNIT_ASSERT(sent_values("X-Pimentopin-Credential").empty());
    this->exchange.names_organisation = true;
    CPPUNIT_ASSERT(sent_values("X-Pimentopin-Tenant").empty());
    this->exchange.identified_by_key = true;
    CPPUNIT_ASSERT(sent_values("X-Pimentopin-Tenant") == std::vector<std::string>{"port-a"});
    CPPUNIT_ASSERT(sent_values("X-Pimentopin-Credential").empty());
  }

  // Guards against reporting "not run" for a request that may have run: only the Not-Executed
  // header or status 421 from the target counts, not the other statuses.
  void TestNotRunRequiresStatementOfTarget() {
    for (const int status : {408, 429, 503}) {
      const auto without_header = this->Read(status, {});
      CPPUNIT_ASSERT(!without_header.shed && without_header.unusable);
      const auto with_header = this->Read(status, {{"X-Pimentopin-Not-Executed", "1"}});
      CPPUNIT_ASSERT(with_header.shed && !with_header.unusable);
    }
    const auto misdirected = this->Read(421, {});
    CPPUNIT_ASSERT(misdirected.shed && misdirected.leaving && !misdirected.unusable);
    CPPUNIT_ASSERT(!this->Read(500, {}).unusable);
  }

  // Guards against passing on a response that no target has sealed.
  void TestUnsealedSuccessIsUnusable() {
    CPPUNIT_ASSERT(this->Read(200, {}).unusable);
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    const HttpHeader echo{"X-Pimentopin-Attempt-Id", "a1"};
    CPPUNIT_ASSERT(this->Read(200, {echo}).unusable);
    CPPUNIT_ASSERT(!this->Read(200, {seal, echo}).unusable);
    CPPUNIT_ASSERT(this->Read(200, {seal, echo, {"Content-Encoding", "gzip"}}).unusable);
  }

  // Guards against another caller's response that arrives late on a reused connection.
  void TestLateResponseToAnotherRequestIsUnusable() {
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), this->dialect.EchoedId(this->exchange, {}));
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    CPPUNIT_ASSERT(!this->Read(200, {seal, {"X-Pimentopin-Attempt-Id", "a1"}}).unusable);
    CPPUNIT_ASSERT(this->Read(200, {seal, {"X-Pimentopin-Attempt-Id", "a2"}}).unusable);
    CPPUNIT_ASSERT(
        !this->Read(503, {{"X-Pimentopin-Attempt-Id", "a2"}, {"X-Pimentopin-Not-Executed", "1"}})
             .shed);
  }

  // Guards against a late response that cannot be assigned because it names no request.
  void TestSealedResponseWithoutRequestIdIsUnusable() {
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    CPPUNIT_ASSERT(this->Read(200, {seal}).unusable);
    CPPUNIT_ASSERT(this->Read(500, {seal}).unusable);
  }

  // Guards against a refusal that a target writes once more on a kept connection: it would report
  // "not run" for the request that the target is running.
  void TestRefusalOnKeptConnectionMustNameRequest() {
    const HttpHeader not_executed{"X-Pimentopin-Not-Executed", "1"};
    for (const int status : {421, 429, 503}) {
      CPPUNIT_ASSERT(this->Read(status, {not_executed}).shed);
      const auto unnamed = this->ReadOnKeptConnection(status, {not_executed});
      CPPUNIT_ASSERT(!unnamed.shed && unnamed.unusable);
      CPPUNIT_ASSERT(!unnamed.leaving);
      const HttpHeader other{"X-Pimentopin-Attempt-Id", "a0"};
      CPPUNIT_ASSERT(!this->ReadOnKeptConnection(status, {not_executed, other}).shed);
      const HttpHeader own{"X-Pimentopin-Attempt-Id", "a1"};
      CPPUNIT_ASSERT(this->ReadOnKeptConnection(status, {not_executed, own}).shed);
    }
  }

  // Guards against a late copy of a failure, which may be that of another request.
  void TestUnnamedFailureOnKeptConnectionIsForwarded() {
    for (const int status : {400, 404, 500, 502}) {
      CPPUNIT_ASSERT(!this->Read(status, {}).unusable);
      CPPUNIT_ASSERT(this->ReadOnKeptConnection(status, {}).unusable);
      const HttpHeader own{"X-Pimentopin-Attempt-Id", "a1"};
      CPPUNIT_ASSERT(!this->ReadOnKeptConnection(status, {own}).unusable);
    }
  }

  // Guards against a late response without an id that is taken for the response to another request
  // without one.
  void TestLateResponseWithoutIdIsThatOfARequestWithoutId() {
    std::erase_if(this->exchange.request.headers, [](const HttpHeader& header) {
      return header.name == "X-Pimentopin-Attempt-Id";
    });
    const HttpHeader not_executed{"X-Pimentopin-Not-Executed", "1"};
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    CPPUNIT_ASSERT(this->Read(503, {not_executed}).shed);
    CPPUNIT_ASSERT(!this->Read(200, {seal}).unusable);
    const auto refusal = this->ReadOnKeptConnection(503, {not_executed});
    CPPUNIT_ASSERT(!refusal.shed && refusal.unusable);
    CPPUNIT_ASSERT(this->ReadOnKeptConnection(200, {seal}).unusable);
  }

  // Guards against sending work to a target that said in a refusal, in a failure or in a late
  // response that it is leaving.
  void TestLeavingIsReadFromEveryResponse() {
    const HttpHeader leaving{"Server-Leaving", "1"};
    for (const int status : {200, 404, 500, 503}) {
      CPPUNIT_ASSERT(this->Read(status, {leaving}).leaving);
      CPPUNIT_ASSERT(this->Read(status, {leaving, {"X-Pimentopin-Attempt-Id", "a0"}}).leaving);
      CPPUNIT_ASSERT(!this->Read(status, {{"Server-Leaving", "0"}}).leaving);
      CPPUNIT_ASSERT(this->dialect.InterpretProbe(status, {leaving}).leaving);
    }
  }

  // Guards against ignoring the time for which a target wants nothing, and against values that are
  // no number of seconds.
  void TestRetryAfterOfTarget() {
    const auto read = [this](int status, const std::string& value) {
      return this->Read(status, {{"X-Pimentopin-Not-Executed", "1"}, {"Retry-After", value}})
          .retry_after;
    };
    CPPUNIT_ASSERT(read(503, "2") == std::chrono::seconds(2));
    CPPUNIT_ASSERT(read(503, "0.25") == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(read(429, "2") == Duration::zero());
    CPPUNIT_ASSERT(read(503, "1e300") > std::chrono::hours(1));
    for (const char* value :
         {"0", "-1", "", "soon", "nan", "2 s", "Wed, 21 Oct 2015 07:28:00 GMT"}) {
      CPPUNIT_ASSERT(read(503, value) == Duration::zero());
    }
  }

  // Guards against reporting "not run" with a status that does not state it, and the reverse.
  void TestOwnStatuses() {
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(502, true));
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(504, true));
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(422, true));
    CPPUNIT_ASSERT_EQUAL(404, this->dialect.HostResponseStatus(404, true));
    CPPUNIT_ASSERT_EQUAL(429, this->dialect.HostResponseStatus(429, true));
    CPPUNIT_ASSERT_EQUAL(502, this->dialect.HostResponseStatus(502, false));
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"),
                         this->dialect.RetryAfterText(std::chrono::milliseconds(250)));
  }

 private:
  TargetResponseInfo Read(int status, const HttpHeaders& headers) const {
    return this->dialect.InterpretResponse(this->exchange, {},
                                           {.status = status, .headers = headers});
  }
  TargetResponseInfo ReadOnKeptConnection(int status, const HttpHeaders& headers) const {
    return this->dialect.InterpretResponse(
        this->exchange, {}, {.status = status, .headers = headers, .connection_reused = true});
  }

  const platform::PlatformDialect dialect;
  Exchange exchange;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDialectTest);

}  // namespace
}  // namespace pimentopin

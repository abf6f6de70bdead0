#include "platform/platform_dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class PlatformDialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDialectTest);
  CPPUNIT_TEST(TestHeadersToTarget);
  CPPUNIT_TEST(TestNotRunNeedsTheTargetsWord);
  CPPUNIT_TEST(TestUnsealedSuccessIsUnusable);
  CPPUNIT_TEST(TestLateAnswerOfAnotherRequestIsUnusable);
  CPPUNIT_TEST(TestOwnStatuses);
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

  // Guards against a target that works for longer than the caller waits, runs
  // the request of a caller that forged its name, or sees another host name.
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

  // Guards against "not run" told to a caller whose request may have run: only
  // the target's own statement counts, not the status.
  void TestNotRunNeedsTheTargetsWord() {
    for (const int status : {408, 429, 503}) {
      const auto silent = this->Read(status, {});
      CPPUNIT_ASSERT(!silent.shed && silent.unusable);
      const auto stated = this->Read(status, {{"X-Pimentopin-Not-Executed", "1"}});
      CPPUNIT_ASSERT(stated.shed && !stated.unusable);
    }
    const auto misdirected = this->Read(421, {});
    CPPUNIT_ASSERT(misdirected.shed && misdirected.leaving && !misdirected.unusable);
    CPPUNIT_ASSERT(!this->Read(500, {}).unusable);
  }

  // Guards against bytes that no target sealed as an answer.
  void TestUnsealedSuccessIsUnusable() {
    CPPUNIT_ASSERT(this->Read(200, {}).unusable);
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    CPPUNIT_ASSERT(!this->Read(200, {seal}).unusable);
    CPPUNIT_ASSERT(this->Read(200, {seal, {"Content-Encoding", "gzip"}}).unusable);
  }

  // Guards against another caller's answer that arrives late on a kept connection.
  void TestLateAnswerOfAnotherRequestIsUnusable() {
    const HttpHeader seal{"X-Pimentopin-Response-Seal", "3e1b.07"};
    CPPUNIT_ASSERT(!this->Read(200, {seal, {"X-Pimentopin-Attempt-Id", "a1"}}).unusable);
    CPPUNIT_ASSERT(this->Read(200, {seal, {"X-Pimentopin-Attempt-Id", "a2"}}).unusable);
    CPPUNIT_ASSERT(
        !this->Read(503, {{"X-Pimentopin-Attempt-Id", "a2"}, {"X-Pimentopin-Not-Executed", "1"}})
             .shed);
  }

  // Guards against a promise of "not run" by a status that promises nothing,
  // and the reverse.
  void TestOwnStatuses() {
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(502, true));
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(504, true));
    CPPUNIT_ASSERT_EQUAL(503, this->dialect.HostResponseStatus(422, true));
    CPPUNIT_ASSERT_EQUAL(404, this->dialect.HostResponseStatus(404, true));
    CPPUNIT_ASSERT_EQUAL(502, this->dialect.HostResponseStatus(502, false));
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"),
                         this->dialect.RetryAfterText(std::chrono::milliseconds(250)));
  }

 private:
  TargetResponseInfo Read(int status, const HttpHeaders& headers) const {
    return this->dialect.InterpretResponse(this->exchange, {}, status, headers);
  }

  const platform::PlatformDialect dialect;
  Exchange exchange;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDialectTest);

}  // namespace
}  // namespace pimentopin

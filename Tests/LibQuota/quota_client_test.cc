#include "Libraries/LibQuota/quota_client.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;

constexpr OrganisationId kOrganisation{1};

class QuotaClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaClientTest);
  CPPUNIT_TEST(TestTokenIsUsedAfterItsLifetime);
  CPPUNIT_TEST(TestLateReplyAdmitsARequest);
  CPPUNIT_TEST(TestReplyIsUsedTwice);
  CPPUNIT_TEST(TestSilentHolderHidesThatTheQuotaIsUsedUp);
  CPPUNIT_TEST(TestHolderIsNotFoundByTheExpectedHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->client = QuotaClient();
    this->now = BootTimePoint(std::chrono::seconds(100));
    this->client.Configure(this->now, {{kOrganisation, {10, 10}}});
    this->client.SetHolders({HostId{1}, HostId{2}, HostId{3}, HostId{4}}, {0, 1, 2, 3});
  }

  // A request that gives up leaves the token that is granted for it later.
  void TestTokenIsUsedAfterItsLifetime() {
    const QuotaRequest asked = this->Ask(RequestId{1}, milliseconds(10));
    this->now += milliseconds(20);
    this->client.Tick(this->now);
    this->Reply(HostId{1}, asked, 1);
    this->now += QuotaClient::kTokenLifetime - milliseconds(20);
    this->Ask(RequestId{2}, milliseconds(200));
  }

  void TestLateReplyAdmitsARequest() {
    const QuotaRequest asked = this->Ask(RequestId{1}, milliseconds(10));
    this->now += milliseconds(20);
    this->client.Tick(this->now);
    this->now += QuotaClient::kTokenLifetime - milliseconds(20);
    this->Ask(RequestId{2}, milliseconds(200));
    CPPUNIT_ASSERT(this->Reply(HostId{1}, asked, 1).empty());
  }

  void TestReplyIsUsedTwice() {
    const QuotaRequest asked = this->Ask(RequestId{1}, milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Reply(HostId{1}, asked, 1).size());
    this->Ask(RequestId{2}, milliseconds(200));
    CPPUNIT_ASSERT(this->Reply(HostId{1}, asked, 1).empty());
  }

  void TestSilentHolderHidesThatTheQuotaIsUsedUp() {
    this->Ask(RequestId{1}, milliseconds(200));
    this->now += QuotaClient::kReplyTimeout;
    auto actions = this->client.Tick(this->now);
    for (std::uint64_t host = 2; host <= 4; ++host) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
      const auto& asked = std::get<QuotaRequest>(std::get<SendToHost>(actions.front()).message);
      actions = this->Reply(HostId{host}, asked, 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::get<QuotaVerdict>(actions.front()).decision == QuotaDecision::kOverQuota);
  }

  void TestHolderIsNotFoundByTheExpectedHost() {
    const QuotaRequest asked = this->Ask(RequestId{1}, milliseconds(200));
    const auto actions = this->client.OnReply(
        this->now, HostId{1},
        {.request = asked.request, .organisation = kOrganisation, .part = 0, .holder = HostId{7}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::get<SendToHost>(actions.front()).host == HostId{7});
  }

 private:
  // Fails unless the request makes this host ask for tokens.
  QuotaRequest Ask(RequestId request, Duration max_wait) {
    const auto actions = this->client.Admit(this->now, request, kOrganisation, max_wait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::holds_alternative<SendToHost>(actions.front()));
    return std::get<QuotaRequest>(std::get<SendToHost>(actions.front()).message);
  }
  std::vector<QuotaAction> Reply(HostId from, const QuotaRequest& asked, std::uint16_t granted) {
    return this->client.OnReply(this->now, from,
                                {.request = asked.request,
                                 .organisation = kOrganisation,
                                 .part = asked.part,
                                 .holds = true,
                                 .granted = granted});
  }

  QuotaClient client;
  BootTimePoint now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaClientTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibHost/request_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "Libraries/LibHost/native_dialect.h"

namespace pimentopin {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

Configuration SampleConfiguration() {
  Configuration configuration;
  configuration.revision = 1;
  configuration.organisations = {{.name = "wheels"}};
  configuration.callers = {
      {.name = "desk", .organisation = "wheels", .labels = {{"role", "front-desk"}}},
      {.name = "guest", .organisation = "wheels", .labels = {{"role", "guest"}}}};
  configuration.services = {
      {.name = "booking", .deadline = std::chrono::seconds(2), .queue_limit = 10}};
  configuration.targets = {{.name = "booking-1", .service = "booking", .address = "127.0.0.1:1"},
                           {.name = "booking-2",
                            .service = "booking",
                            .address = "127.0.0.1:2",
                            .labels = {{"tier", "spare"}}}};
  configuration.access = {{.callers = {.match_labels = {{"role", "front-desk"}}}}};
  configuration.work = {{.services = {"booking"},
                         .methods = {"POST"},
                         .path_prefix = "/deposits",
                         .idempotent = false,
                         .is_long = true,
                         .affinity = true,
                         .deadline = std::chrono::seconds(9)}};
  return configuration;
}

HttpServerRequest SampleRequest() {
  return {.method = "POST",
          .path = "/booking/deposits/7",
          .query = "a=1",
          .headers = {{"pimentopin-caller", "desk"}, {"Idempotency-Key", "k-1"}},
          .body = "{}"};
}

class RequestReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReaderTest);
  CPPUNIT_TEST(TestFillsDescriptionFromRules);
  CPPUNIT_TEST(TestRefusalsNameTheReason);
  CPPUNIT_TEST(TestDeniedWithoutAccessRule);
  CPPUNIT_TEST(TestFingerprintCoversWholeRequest);
  CPPUNIT_TEST(TestSafeMethodIgnoresKey);
  CPPUNIT_TEST(TestLongestPrefixRouteApplies);
  CPPUNIT_TEST(TestEarlierOfDeadlineAndTimeoutApplies);
  CPPUNIT_TEST(TestDeadlineAtItsLimitsIsNotMalformed);
  CPPUNIT_TEST(TestSplitFollowsWeights);
  CPPUNIT_TEST(TestRefusalNamesCallerOfRoute);
  CPPUNIT_TEST(TestKeyDecidesOnOrganisation);
  CPPUNIT_TEST(TestRequestsWithoutAKnownKeyAreRefused);
  CPPUNIT_TEST(TestUnconfirmedKeysAreNotJudged);
  CPPUNIT_TEST(TestAnonymousRouteNeedsNoKey);
  CPPUNIT_TEST(TestCallerOfAnotherOrganisationIsRefused);
  CPPUNIT_TEST(TestPriorityOfOrganisationGoesFirst);
  CPPUNIT_TEST(TestRequestsThatLookAlikeHaveDifferentWorkKeys);
  CPPUNIT_TEST(TestRequestsThatDifferShareAWorkKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRequestsThatLookAlikeHaveDifferentWorkKeys() {
    HttpServerRequest other = SampleRequest();
    other.path = "/booking/deposits/8";
    other.query = "a=2";
    other.body = "[]";
    CPPUNIT_ASSERT(this->WorkKeyOf(SampleRequest()) == this->WorkKeyOf(other));
    CPPUNIT_ASSERT(this->WorkKeyOf(other) != WorkKey{});
  }

  void TestRequestsThatDifferShareAWorkKey() {
    const WorkKey key = this->WorkKeyOf(SampleRequest());
    HttpServerRequest other = SampleRequest();
    other.method = "PUT";
    CPPUNIT_ASSERT(this->WorkKeyOf(other) != key);
    other = SampleRequest();
    other.path = "/booking/refunds/7";
    CPPUNIT_ASSERT(this->WorkKeyOf(other) != key);
    other = SampleRequest();
    other.body = std::string(5000, 'x');
    CPPUNIT_ASSERT(this->WorkKeyOf(other) != key);
  }

  // Guards against treating a request as idempotent although a work rule says otherwise.
  void TestFillsDescriptionFromRules() {
    const auto exchange = this->Read(SampleRequest());
    CPPUNIT_ASSERT(exchange.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("/deposits/7?a=1"), exchange->target_path);
    CPPUNIT_ASSERT(!exchange->description.idempotent);
    CPPUNIT_ASSERT(exchange->description.work_class == WorkClass::kLong);
    CPPUNIT_ASSERT(exchange->description.affinity_key != 0);
    CPPUNIT_ASSERT(exchange->description.deadline == kNow + std::chrono::seconds(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, exchange->description.allowed.size());
    CPPUNIT_ASSERT((exchange->claim_key == ClaimKey{"booking", "wheels", "k-1"}));
  }

  // Guards against accepting invalid input, or refusing it without naming the reason.
  void TestRefusalsNameTheReason() {
    struct Case {
      int status;
      std::string reason;
      std::function<void(HttpServerRequest&)> change;
    };
    const std::vector<Case> cases = {
        {400, "no-caller", [](auto& request) { request.headers.clear(); }},
        {403, "unknown-caller", [](auto& request) { request.headers[0].value = "nobody"; }},
        {404, "unknown-service", [](auto& request) { request.path = "/nothing/x"; }},
        {404, "unknown-service", [](auto& request) { request.path = "/"; }},
        {400, "bad-deadline",
         [](auto& request) {
           request.headers.push_back({"Pimentopin-Deadline-Ms", "-5"});
         }},
        {400, "bad-deadline",
         [](auto& request) {
           request.headers.push_back({"Pimentopin-Deadline-Ms", "1x"});
         }},
        {400, "bad-deadline",
         [](auto& request) {
           request.headers.push_back({"Pimentopin-Deadline-Ms", "99999999999999999999"});
         }},
        {400, "bad-idempotency-key",
         [](auto& request) { request.headers[1].value = std::string(256, 'k'); }},
        {400, "bad-idempotency-key", [](auto& request) { request.headers[1].value = "a b"; }},
        {400, "bad-request-id",
         [](auto& request) {
           request.headers.push_back({"Pimentopin-Request-Id", "a\tb"});
         }},
    };
    for (const Case& input : cases) {
      HttpServerRequest request = SampleRequest();
      input.change(request);
      CPPUNIT_ASSERT(!this->Read(request));
      CPPUNIT_ASSERT_EQUAL(input.reason, this->refusal.reason);
      CPPUNIT_ASSERT_EQUAL(input.status, this->refusal.status);
      CPPUNIT_ASSERT(this->refusal.outcome == Outcome::kNotRun);
      CPPUNIT_ASSERT(!this->refusal.message.empty());
    }
  }

  // Guards against 400, which callers do not repeat, for a deadline that has just passed, and for
  // one that is longer than any timeout.
  void TestDeadlineAtItsLimitsIsNotMalformed() {
    HttpServerRequest request = SampleRequest();
    request.headers.push_back({"Pimentopin-Deadline-Ms", "0"});
    CPPUNIT_ASSERT(!this->Read(request));
    CPPUNIT_ASSERT_EQUAL(504, this->refusal.status);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), this->refusal.reason);
    CPPUNIT_ASSERT(this->refusal.outcome == Outcome::kNotRun);
    request.headers.back().value = "9000000000";
    CPPUNIT_ASSERT(this->Read(request)->description.deadline == kNow + std::chrono::hours(24));
  }

  // Guards against access that no rule grants.
  void TestDeniedWithoutAccessRule() {
    HttpServerRequest request = SampleRequest();
    request.headers[0].value = "guest";
    CPPUNIT_ASSERT(!this->Read(request));
    CPPUNIT_ASSERT_EQUAL(std::string("no-access"), this->refusal.reason);
  }

  // Guards against a fingerprint shared by two different requests: one would be refused for
  // crashes caused by the other, or receive its replayed response.
  void TestFingerprintCoversWholeRequest() {
    const Fingerprint original = this->Read(SampleRequest())->description.fingerprint;
    const std::vector<std::function<void(HttpServerRequest&)>> changes = {
        [](auto& request) { request.method = "PUT"; },
        [](auto& request) { request.path = "/booking/deposits/8"; },
        [](auto& request) { request.query = "a=2"; }, [](auto& request) { request.body = "[]"; }};
    for (const auto& change : changes) {
      HttpServerRequest request = SampleRequest();
      change(request);
      CPPUNIT_ASSERT(this->Read(request)->description.fingerprint != original);
    }
    CPPUNIT_ASSERT(this->Read(SampleRequest())->description.fingerprint == original);
  }

  // Guards against matching the wrong route, losing the path, or applying the limits of
  // another route.
  void TestLongestPrefixRouteApplies() {
    const Configuration routed = RoutedConfiguration();
    const auto exchange = this->ReadFrom(routed, RoutedRequest("/pages/7"));
    CPPUNIT_ASSERT_EQUAL(std::string("pages"), exchange->route);
    CPPUNIT_ASSERT_EQUAL(std::string("/pages/7"), exchange->target_path);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), exchange->caller);
    CPPUNIT_ASSERT(exchange->description.idempotent && exchange->description.bulk);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, exchange->description.max_attempts);
    CPPUNIT_ASSERT(exchange->description.deadline == kNow + std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("all"), this->ReadFrom(routed, RoutedRequest("/x"))->route);
    HttpServerRequest other = RoutedRequest("/pages/7");
    other.headers[0].value = "other.example";
    CPPUNIT_ASSERT(!this->ReadFrom(routed, other));
    CPPUNIT_ASSERT_EQUAL(404, this->refusal.status);
  }

  // Guards against making a caller wait beyond its deadline or the operator's timeout.
  void TestEarlierOfDeadlineAndTimeoutApplies() {
    const Configuration routed = RoutedConfiguration();
    HttpServerRequest request = RoutedRequest("/pages/7");
    request.headers.push_back({"Pimentopin-Deadline-Ms", "400"});
    CPPUNIT_ASSERT(this->ReadFrom(routed, request)->description.deadline ==
                   kNow + std::chrono::milliseconds(400));
    request.headers.back().value = "60000";
    CPPUNIT_ASSERT(this->ReadFrom(routed, request)->description.deadline ==
                   kNow + std::chrono::seconds(1));
  }

  // Guards against a split that ignores the weights, or that sends retries of a request to
  // different services.
  void TestSplitFollowsWeights() {
    const Configuration routed = RoutedConfiguration();
    int pages = 0;
    for (int index = 0; index < 2000; ++index) {
      HttpServerRequest request = RoutedRequest("/split/x");
      request.headers.push_back({"Pimentopin-Request-Id", "request-" + std::to_string(index)});
      const std::string service = this->ReadFrom(routed, request)->service;
      CPPUNIT_ASSERT_EQUAL(service, this->ReadFrom(routed, request)->service);
      pages += service == "pages" ? 1 : 0;
    }
    CPPUNIT_ASSERT(pages > 150 && pages < 250);
  }

  // Guards against a refusal that names an empty caller although the caller that the route names is
  // unknown.
  void TestRefusalNamesCallerOfRoute() {
    Configuration routed = RoutedConfiguration();
    routed.routes[0].caller = "nobody";
    HttpServerRequest request = RoutedRequest("/x");
    CPPUNIT_ASSERT(!this->ReadFrom(routed.WithIndex(), request));
    CPPUNIT_ASSERT_EQUAL(403, this->refusal.status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown caller 'nobody'"), this->refusal.message);
    request.headers.push_back({"Pimentopin-Caller", "stranger"});
    CPPUNIT_ASSERT(!this->ReadFrom(routed.WithIndex(), request));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown caller 'stranger'"), this->refusal.message);
  }

  // Guards against work that is counted for, or named to a target as that of, another organisation.
  void TestKeyDecidesOnOrganisation() {
    HttpServerRequest request = RoutedRequest("/pages/7");
    request.headers.push_back({"Pimentopin-Organisation", "wheels"});
    request.headers.push_back({"Pimentopin-Key", "lifts-key"});
    const auto exchange = this->ReadFrom(ConfigurationWithKeys(), request);
    CPPUNIT_ASSERT_EQUAL(std::string("lifts"), exchange->organisation);
    CPPUNIT_ASSERT_EQUAL(std::string("lift-desk"), exchange->caller);
    CPPUNIT_ASSERT(exchange->description.organisation == IdFromName<OrganisationId>("lifts"));
    const HttpHeaders sent = this->dialect.TargetHeaders(*exchange, {});
    CPPUNIT_ASSERT(FindHeader(sent, "Pimentopin-Organisation") == "lifts");
    CPPUNIT_ASSERT(FindHeader(sent, "Pimentopin-Key").empty());
  }

  // Guards against running a request that nobody vouches for, and against the wrong status: callers
  // learn first that a route does not exist.
  void TestRequestsWithoutAKnownKeyAreRefused() {
    const Configuration with_keys = ConfigurationWithKeys();
    HttpServerRequest request = RoutedRequest("/pages/7");
    this->ExpectRefusal(with_keys, request, 401, "no-key");
    request.headers.push_back({"Pimentopin-Key", "withdrawn"});
    this->ExpectRefusal(with_keys, request, 401, "unknown-key");
    CPPUNIT_ASSERT(this->refusal.message.find("withdrawn") == std::string::npos);
    request.headers[0].value = "other.example";
    this->ExpectRefusal(with_keys, request, 404, "no-route");
    Configuration by_path = SampleConfiguration();
    by_path.requires_keys = true;
    this->ExpectRefusal(by_path, SampleRequest(), 401, "no-key");
    request = SampleRequest();
    request.path = "/nothing/x";
    this->ExpectRefusal(by_path, request, 404, "unknown-service");
  }

  // Guards against 401, which callers do not repeat, by a host that has missed a configuration with
  // the key.
  void TestUnconfirmedKeysAreNotJudged() {
    this->keys_confirmed = false;
    HttpServerRequest request = RoutedRequest("/pages/7");
    for (const char* key : {"lifts-key", "withdrawn"}) {
      request.headers.push_back({"Pimentopin-Key", key});
      this->ExpectRefusal(ConfigurationWithKeys(), request, 503, "keys-unconfirmed");
      request.headers.pop_back();
    }
    CPPUNIT_ASSERT(this->ReadFrom(ConfigurationWithKeys(), RoutedRequest("/open/7")));
    CPPUNIT_ASSERT(this->ReadFrom(RoutedConfiguration(), request));
  }

  // Guards against an open route that needs a key, or on which a caller takes another's name.
  void TestAnonymousRouteNeedsNoKey() {
    HttpServerRequest request = RoutedRequest("/open/7");
    request.headers.push_back({"Pimentopin-Caller", "lift-desk"});
    request.headers.push_back({"Pimentopin-Organisation", "lifts"});
    const auto exchange = this->ReadFrom(ConfigurationWithKeys(), request);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), exchange->caller);
    CPPUNIT_ASSERT(
        FindHeader(this->dialect.TargetHeaders(*exchange, {}), "Pimentopin-Organisation").empty());
  }

  // Guards against a key with which a caller uses the access of another organisation.
  void TestCallerOfAnotherOrganisationIsRefused() {
    HttpServerRequest request = RoutedRequest("/pages/7");
    request.headers.push_back({"Pimentopin-Key", "lifts-key"});
    request.headers.push_back({"Pimentopin-Caller", "desk"});
    this->ExpectRefusal(ConfigurationWithKeys(), request, 403, "unknown-caller");
    request.headers.back().value = "lift-desk";
    CPPUNIT_ASSERT(this->ReadFrom(ConfigurationWithKeys(), request));
  }

  void TestPriorityOfOrganisationGoesFirst() {
    Configuration with_keys = ConfigurationWithKeys();
    with_keys.routes[1].priority = 3;
    HttpServerRequest request = RoutedRequest("/pages/7");
    request.headers.push_back({"Pimentopin-Key", "lifts-key"});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3},
                         this->ReadFrom(with_keys, request)->description.priority);
    with_keys.organisations[1].priority = 1;
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         this->ReadFrom(with_keys, request)->description.priority);
  }

  // Guards against writing a claim for a request that is idempotent anyway.
  void TestSafeMethodIgnoresKey() {
    HttpServerRequest request = SampleRequest();
    request.method = "GET";
    const auto exchange = this->Read(request);
    CPPUNIT_ASSERT(exchange->description.idempotent);
    CPPUNIT_ASSERT(!exchange->claim_key.has_value());
  }

 private:
  WorkKey WorkKeyOf(const HttpServerRequest& request) {
    return this->Read(request)->description.work_key;
  }

  std::optional<Exchange> Read(const HttpServerRequest& request) {
    return this->ReadFrom(this->configuration, request);
  }
  std::optional<Exchange> ReadFrom(const Configuration& from, HttpServerRequest request) {
    return ReadRequest(from, this->dialect, request, this->dialect.CallerRequestId(request.headers),
                       kNow, this->keys_confirmed, this->refusal);
  }

  static Configuration RoutedConfiguration() {
    Configuration routed = SampleConfiguration();
    routed.services.push_back({.name = "pages", .deadline = std::chrono::seconds(2)});
    routed.targets.push_back({.name = "pages-1", .service = "pages", .address = "127.0.0.1:3"});
    routed.routes = {{.name = "all",
                      .host = "shop.example",
                      .path_prefix = "/",
                      .services = {{"booking", 1}},
                      .caller = "desk",
                      .max_attempts = 1,
                      .timeout = std::chrono::seconds(3)},
                     {.name = "pages",
                      .host = "shop.example",
                      .path_prefix = "/pages/",
                      .services = {{"pages", 1}},
                      .caller = "desk",
                      .idempotent = true,
                      .bulk = true,
                      .max_attempts = 2,
                      .timeout = std::chrono::seconds(1)},
                     {.name = "split",
                      .host = "shop.example",
                      .path_prefix = "/split/",
                      .services = {{"booking", 90}, {"pages", 10}},
                      .caller = "desk",
                      .timeout = std::chrono::seconds(1)}};
    return routed.WithIndex();
  }

  static Configuration ConfigurationWithKeys() {
    Configuration with_keys = RoutedConfiguration();
    with_keys.requires_keys = true;
    with_keys.organisations.push_back({.name = "lifts", .keys = {ApiKeyDigest::Of("lifts-key")}});
    with_keys.callers.push_back(
        {.name = "lift-desk", .organisation = "lifts", .labels = {{"role", "front-desk"}}});
    Route open = with_keys.routes[1];
    open.name = "open";
    open.path_prefix = "/open/";
    open.anonymous = true;
    with_keys.routes.push_back(open);
    return with_keys.WithIndex();
  }

  void ExpectRefusal(const Configuration& from,
                     const HttpServerRequest& request,
                     int status,
                     const std::string& reason) {
    CPPUNIT_ASSERT(!this->ReadFrom(from, request));
    CPPUNIT_ASSERT_EQUAL(reason, this->refusal.reason);
    CPPUNIT_ASSERT_EQUAL(status, this->refusal.status);
    CPPUNIT_ASSERT(this->refusal.outcome == Outcome::kNotRun);
  }

  static HttpServerRequest RoutedRequest(const std::string& path) {
    return {.method = "GET", .path = path, .headers = {{"Host", "shop.example:8080"}}};
  }

  const NativeDialect dialect;
  bool keys_confirmed = true;

  const Configuration configuration = SampleConfiguration();
  ErrorResponse refusal;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestReaderTest);

}  // namespace
}  // namespace pimentopin

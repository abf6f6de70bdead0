#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibHost/request_reader.h"
#include "platform/operator_document.h"
#include "platform/platform_dialect.h"

namespace pimentopin {
namespace {

constexpr char kRoute[] = R"({"type":"routes","metadata":{"name":"r"},"spec":{
  "host":"a.example","prefix":"/pages/","kind":"safe","timeout-s":1.5,"target-latency-s":0.8,
  "priority":2,"max-attempts":2,"service":"manuals"}},)";
constexpr char kServices[] = R"({"type":"services","metadata":{"name":"manuals"},"spec":{
  "health-path":"/health","max-conns":300}})";
constexpr char kTenant[] = R"(,{"type":"tenants","metadata":{"name":"port"},"spec":{
  "api-keys":["key-1"]}})";

// Tests which requests of the platform's callers reach a service. The platform knows routes only.
class PlatformRoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformRoutingTest);
  CPPUNIT_TEST(TestRequestWithoutRouteRunsAtTheServiceInItsPath);
  CPPUNIT_TEST(TestHeaderOfTheNativeInterfaceAddressesAService);
  CPPUNIT_TEST(TestHeaderOfTheNativeInterfaceRefusesARequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is run, with a changed path, after its route has been dropped.
  void TestRequestWithoutRouteRunsAtTheServiceInItsPath() {
    for (const std::string& resources :
         {std::string(kServices), std::string(kServices) + kTenant, std::string(kRoute) + kServices,
          std::string(kRoute) + kServices + kTenant}) {
      CPPUNIT_ASSERT(!this->Read(resources, "/manuals/page/7", {}));
      CPPUNIT_ASSERT_EQUAL(404, this->refusal.status);
      CPPUNIT_ASSERT(this->refusal.outcome == Outcome::kNotRun);
    }
    CPPUNIT_ASSERT(this->Read(std::string(kRoute) + kServices + kTenant, "/pages/7", {}));
  }

  // Guards against the same by a header that only the product's own interface has.
  void TestHeaderOfTheNativeInterfaceAddressesAService() {
    const HttpHeader caller{std::string(kCallerHeader), "clients"};
    CPPUNIT_ASSERT(!this->Read(std::string(kRoute) + kServices, "/manuals/page/7", {caller}));
    CPPUNIT_ASSERT_EQUAL(404, this->refusal.status);
  }

  // Guards against refusing a proper request for a header that means nothing on the platform.
  void TestHeaderOfTheNativeInterfaceRefusesARequest() {
    const HttpHeader caller{std::string(kCallerHeader), "somebody"};
    CPPUNIT_ASSERT(this->Read(std::string(kRoute) + kServices, "/pages/7", {caller}));
    CPPUNIT_ASSERT(this->Read(std::string(kRoute) + kServices + kTenant, "/pages/7", {caller}));
  }

 private:
  std::optional<Exchange> Read(const std::string& resources,
                               const std::string& path,
                               const HttpHeaders& headers) {
    Findings findings;
    auto configuration = platform::ReadOperatorDocument(
        R"({"version":"0000001c","resources":[)" + resources + "]}", {}, findings);
    CPPUNIT_ASSERT_MESSAGE(findings.ToText(), configuration);
    HttpServerRequest request;
    request.method = "GET";
    request.path = path;
    request.headers = {{"Host", "a.example"},
                       {"X-Pimentopin-Attempt-Id", "a1"},
                       {"X-Pimentopin-Credential", "key-1"}};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    return ReadRequest(
        WithRegisteredTargets(*configuration,
                              {{.name = "m-1", .service = "manuals", .address = "10.1.0.9:80"}}),
        this->dialect, request, "a1", TimePoint(std::chrono::seconds(1)), true, this->refusal);
  }

  const platform::PlatformDialect dialect;
  ErrorResponse refusal{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformRoutingTest);

}  // namespace
}  // namespace pimentopin

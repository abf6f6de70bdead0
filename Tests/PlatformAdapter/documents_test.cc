#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "Libraries/LibCore/request_limits.h"
#include "platform/base64.h"
#include "platform/operator_document.h"
#include "platform/target_entry.h"

namespace pimentopin {
namespace {

constexpr char kDocument[] = R"({"version":"0000001c","resources":[
  {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","prefix":"/x/",
   "kind":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,"max-attempts":2,
   "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}},
  {"type":"routes","metadata":{"name":"r-2"},"spec":{"host":"a.example","prefix":"/y/",
   "kind":"unsafe","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"s1",
   "max-attempts":1}},
  {"type":"routes","metadata":{"name":"r-3"},"spec":{"host":"a.example","prefix":"/z/",
   "kind":"download","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"s2",
   "max-attempts":3}},
  {"type":"services","metadata":{"name":"s1"},"spec":{"health-path":"/h","max-conns":330}},
  {"type":"services","metadata":{"name":"s2"},"spec":{"health-path":"/h","max-conns":330}},
  {"type":"limits","metadata":{},"spec":{"max-header-bytes":16384,
   "header-timeout-s":3,"idle-timeout-s":15}},
  {"type":"unknown to this version","metadata":{},"spec":{}}]})";

constexpr char kEntry[] = R"({"service":"s1","addr":"10.1.0.9:8080","zone":"z1","version":"v1",
  "slots":3,"state":"ready","cold-remaining-s":0.5,"seq":4,"born":1700000000000})";

class PlatformDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
  CPPUNIT_TEST(TestRoutesAndServices);
  CPPUNIT_TEST(TestErrorsNameTheirPlace);
  CPPUNIT_TEST(TestUploadIsNotIdempotent);
  CPPUNIT_TEST(TestUnknownWordsDoNotRejectDocument);
  CPPUNIT_TEST(TestFieldHasNoEffectSilently);
  CPPUNIT_TEST(TestTenantsAreOrganisations);
  CPPUNIT_TEST(TestKeyDigestsReplaceKeys);
  CPPUNIT_TEST(TestBadTenantIsReportedWithoutItsKey);
  CPPUNIT_TEST(TestTenantNamedLikeCallersWithoutKeyIsRefused);
  CPPUNIT_TEST(TestDocumentThatThePlatformAllowsIsRefused);
  CPPUNIT_TEST(TestTargetEntry);
  CPPUNIT_TEST(TestInvalidEntriesAreRefused);
  CPPUNIT_TEST(TestOddEntryEndsTheProcess);
  CPPUNIT_TEST(TestRestartedTargetHasNewId);
  CPPUNIT_TEST(TestBase64);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Document with these resources.
  static std::string WithTenants(const std::string& tenants) {
    return R"({"version":"0000001c","resources":[)" + tenants + "]}";
  }

  // Guards against retrying requests that must not be repeated.
  void TestRoutesAndServices() {
    Findings findings;
    const auto configuration =
        platform::ReadOperatorDocument(kDocument, {.floor_share = 0.7}, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x1c}, configuration->revision);
    const Route& split_route = *configuration->FindRoute("a.example", "/x/1");
    CPPUNIT_ASSERT(split_route.idempotent && !split_route.bulk);
    CPPUNIT_ASSERT(split_route.timeout == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT((split_route.services == std::vector<WeightedService>{{"s1", 90}, {"s2", 10}}));
    CPPUNIT_ASSERT(!configuration->FindRoute("a.example", "/y/1")->idempotent);
    CPPUNIT_ASSERT(configuration->FindRoute("a.example", "/z/1")->bulk);
    CPPUNIT_ASSERT(configuration->FindRoute("b.example", "/x/1") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{330}, configuration->FindService("s1")->target_connections);
    CPPUNIT_ASSERT(configuration->FindCaller(split_route.caller) != nullptr);
    const RequestLimits limits{.max_header_bytes = 16384,
                               .header_timeout = std::chrono::seconds(3),
                               .idle_timeout = std::chrono::seconds(15)};
    CPPUNIT_ASSERT(configuration->request_limits == limits);
  }

  // Guards against applying a partly parsed configuration.
  void TestErrorsNameTheirPlace() {
    const auto place_of = [](const std::string& text) {
      Findings findings;
      CPPUNIT_ASSERT(!platform::ReadOperatorDocument(text, {}, findings));
      return findings.all().front().place;
    };
    const std::string document = kDocument;
    CPPUNIT_ASSERT_EQUAL(std::string(), place_of(document.substr(0, document.size() / 2)));
    CPPUNIT_ASSERT_EQUAL(std::string(), place_of("[]"));
    std::string changed = document;
    changed.replace(changed.find("\"unsafe\""), 8, "17");
    CPPUNIT_ASSERT_EQUAL(std::string("/resources/1/spec/kind"), place_of(changed));
    changed = document;
    changed.replace(changed.find("\"0000001c\""), 10, "\"version!\"");
    CPPUNIT_ASSERT_EQUAL(std::string("/version"), place_of(changed));
    changed = document;
    changed.replace(changed.find("\"timeout-s\":1.5"), 15, "\"timeout-s\":-15");
    CPPUNIT_ASSERT_EQUAL(std::string("/resources/0/spec/timeout-s"), place_of(changed));
  }

  // Guards against running an upload twice.
  void TestUploadIsNotIdempotent() {
    std::string document = kDocument;
    document.replace(document.find("\"unsafe\""), 8, "\"upload\"");
    Findings findings;
    const auto configuration = platform::ReadOperatorDocument(document, {}, findings);
    CPPUNIT_ASSERT(configuration.has_value());
    const Route& upload = *configuration->FindRoute("a.example", "/y/1");
    CPPUNIT_ASSERT(!upload.idempotent && !upload.bulk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.notes().size());
    CPPUNIT_ASSERT_EQUAL(std::string("/resources/6/type"), findings.notes().front().place);
  }

  // Guards against a fleet that serves nothing because a later version of the platform added a
  // kind of route or a field.
  void TestUnknownWordsDoNotRejectDocument() {
    std::string document = kDocument;
    document.replace(document.find("\"safe\""), 6, "\"new kind\",\"new field\":[1]");
    Findings findings;
    const auto configuration = platform::ReadOperatorDocument(document, {}, findings);
    CPPUNIT_ASSERT(configuration.has_value());
    CPPUNIT_ASSERT(!configuration->FindRoute("a.example", "/x/1")->idempotent);
    CPPUNIT_ASSERT(configuration->FindRoute("a.example", "/z/1")->idempotent);
    CPPUNIT_ASSERT_EQUAL(std::string("/resources/0/spec/kind"), findings.notes().front().place);
  }

  // Guards against a field that the operator sets and that has no effect without a word. There is
  // one note for each kind of field, because a document may have thousands of routes.
  void TestFieldHasNoEffectSilently() {
    constexpr char kUnusedFields[] = R"({"version":"0000001c","resources":[
      {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","prefix":"/x/",
       "kind":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,"max-attempts":2,
       "service":"s1","hedge-after-s":0.1}},
      {"type":"routes","metadata":{"name":"r-2"},"spec":{"host":"a.example","prefix":"/y/",
       "kind":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,"max-attempts":2,
       "traffic-split":[{"service":"s1","weight":90,"mirror":true}],"hedge-after-s":0.2}},
      {"type":"services","metadata":{"name":"s1"},
       "spec":{"health-path":"/h","max-conns":330,"protocol":"h2","tls":true}},
      {"type":"services","metadata":{"name":"s2"},
       "spec":{"health-path":"/h","max-conns":330,"protocol":"h1","tls":false}},
      {"type":"services","metadata":{"name":"s3"},
       "spec":{"health-path":"/h","max-conns":330,"protocol":"h2","tls":null}},
      {"type":"limits","metadata":{},
       "spec":{"max-header-bytes":100000,"body-timeout-s":3}}]})";
    Findings findings;
    CPPUNIT_ASSERT(platform::ReadOperatorDocument(kUnusedFields, {}, findings));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "/resources/0/spec/hedge-after-s: unknown field is ignored\n"
            "/resources/1/spec/traffic-split/0/mirror: unknown field is ignored\n"
            "/resources/2/spec/protocol: requests are sent as HTTP/1.1\n"
            "/resources/2/spec/tls: requests are sent without TLS\n"
            "/resources/5/spec/max-header-bytes: larger headers than 81920 bytes are refused\n"
            "/resources/5/spec/body-timeout-s: unknown field is ignored\n"),
        findings.NotesToText());
  }

  // Guards against a key that identifies nobody or somebody else.
  void TestTenantsAreOrganisations() {
    Findings findings;
    const auto configuration = platform::ReadOperatorDocument(
        WithTenants(R"({"type":"tenants","metadata":{"name":"Port of A"},"spec":{"priority":1,
          "api-keys":["key-1","key-2"],"rate-per-s":12.5,"burst":30,"colour":"red"}},
          {"type":"tenants","metadata":{"name":"b"},"spec":{"api-keys":[]}})"),
        {}, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT(findings.NotesToText().find("/spec/colour: unknown") != std::string::npos);
    CPPUNIT_ASSERT(configuration->requires_keys);
    const KeyHolder holder = configuration->FindKeyHolder(ApiKeyDigest::Of("key-2"));
    const Organisation expected{.name = "Port of A",
                                .keys = {ApiKeyDigest::Of("key-1"), ApiKeyDigest::Of("key-2")},
                                .priority = 1,
                                .requests_per_second = 12.5,
                                .burst = 30};
    CPPUNIT_ASSERT(*holder.organisation == expected);
    CPPUNIT_ASSERT_EQUAL(std::string("Port of A"), holder.caller->name);
    CPPUNIT_ASSERT(configuration->FindKeyHolder(ApiKeyDigest::Of("key-3")) == KeyHolder{});
    CPPUNIT_ASSERT(!platform::ReadOperatorDocument(kDocument, {}, findings)->requires_keys);
  }

  // Guards against keys in what hosts send each other and show.
  void TestKeyDigestsReplaceKeys() {
    const std::string text = WithTenants(R"({"type":"tenants","metadata":{"name":"a"},
      "spec":{"api-keys":["key-1"],"rate-per-s":3}})");
    const std::string without_keys = platform::WithKeyDigests(text);
    CPPUNIT_ASSERT(without_keys.find("key-1") == std::string::npos);
    Findings findings;
    CPPUNIT_ASSERT(*platform::ReadOperatorDocument(text, {}, findings) ==
                   *platform::ReadOperatorDocument(without_keys, {}, findings));
    CPPUNIT_ASSERT_EQUAL(without_keys, platform::WithKeyDigests(without_keys));
  }

  // Guards against accepting a document with an ambiguous key or limit, and against findings that
  // show a key.
  void TestBadTenantIsReportedWithoutItsKey() {
    struct Case {
      std::string name;
      std::string spec;
      std::string place;
    };
    // No request can carry it.
    const std::string long_key(kMaxHeaderLimitBytes + 1, 'k');
    const std::vector<Case> cases = {
        {"a", R"("api-keys":["key-1","key-1"])", "/spec/api-keys/1"},
        {"a", R"("api-keys":["key-0"])", "/spec/api-keys/0"},
        {"a", R"("api-keys":[""])", "/spec/api-keys/0"},
        {"a", R"("api-keys":[")" + long_key + "\"]", "/spec/api-keys/0"},
        {"a", R"("api-keys":[17])", "/spec/api-keys/0"},
        {"a", R"("api-keys":"key-1")", "/spec/api-keys"},
        {"a", R"("rate-per-s":1)", "/spec/api-keys"},
        {"a", R"("api-key-digests":["key-1"])", "/spec/api-key-digests/0"},
        {"a", R"("api-keys":["key-1"],"rate-per-s":-1)", "/spec/rate-per-s"},
        {"a", R"("api-keys":["key-1"],"rate-per-s":"many")", "/spec/rate-per-s"},
        {"a", R"("api-keys":["key-1"],"burst":-0.5)", "/spec/burst"},
        {"a", R"("api-keys":["key-1"],"priority":-1)", "/spec/priority"},
        {"first", R"("api-keys":["key-1"])", "/metadata/name"},
        {"", R"("api-keys":["key-1"])", "/metadata/name"},
        {"a\\r\\nb", R"("api-keys":["key-1"])", "/metadata/name"},
    };
    for (const Case& bad : cases) {
      Findings findings;
      const auto configuration = platform::ReadOperatorDocument(
          WithTenants(R"({"type":"tenants","metadata":{"name":"first"},
            "spec":{"api-keys":["key-0"]}},{"type":"tenants","metadata":{"name":")" +
                      bad.name + R"("},"spec":{)" + bad.spec + "}}"),
          {}, findings);
      CPPUNIT_ASSERT_MESSAGE(bad.spec, !configuration);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
      CPPUNIT_ASSERT_EQUAL("/resources/1" + bad.place, findings.all().front().place);
      CPPUNIT_ASSERT(findings.ToText().find("key-1") == std::string::npos);
      CPPUNIT_ASSERT(findings.ToText().find("key-0") == std::string::npos);
      CPPUNIT_ASSERT(findings.ToText().find(long_key) == std::string::npos);
    }
  }

  // Guards against refusing a valid document because a tenant has the name under which requests
  // without a key are counted, and against counting them as requests of that tenant.
  void TestTenantNamedLikeCallersWithoutKeyIsRefused() {
    const auto tenant = [](const std::string& name, const std::string& key) {
      return R"({"type":"tenants","metadata":{"name":")" + name + R"("},"spec":{"api-keys":[")" +
             key + R"("]}})";
    };
    const std::string route_text =
        R"({"type":"routes","metadata":{"name":"r"},"spec":{"host":"a.example","prefix":"/x/",
            "kind":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,"max-attempts":2,
            "service":"s1"}},)";
    Findings findings;
    const auto configuration = platform::ReadOperatorDocument(
        WithTenants(route_text + tenant("clients", "key-1") + "," + tenant("clients-", "key-2")),
        {}, findings);
    CPPUNIT_ASSERT_MESSAGE(findings.ToText(), configuration);
    std::set<std::string> organisations;
    for (const Organisation& organisation : configuration->organisations) {
      CPPUNIT_ASSERT(organisations.insert(organisation.name).second);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, organisations.size());
    const KeyHolder holder = configuration->FindKeyHolder(ApiKeyDigest::Of("key-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("clients"), holder.organisation->name);
    CPPUNIT_ASSERT_EQUAL(std::string("clients"), holder.caller->name);
    for (const Route& route : configuration->routes) {
      const Caller* const caller = configuration->FindCaller(route.caller);
      CPPUNIT_ASSERT(caller != nullptr);
      const auto organisation = std::find_if(
          configuration->organisations.begin(), configuration->organisations.end(),
          [&](const Organisation& entry) { return entry.name == caller->organisation; });
      CPPUNIT_ASSERT(organisation != configuration->organisations.end());
      CPPUNIT_ASSERT(organisation->keys.empty());
    }
    CPPUNIT_ASSERT(!configuration->routes.empty());
  }

  // Guards against refusing documents that the platform allows: a version that is refused never
  // comes into force.
  void TestDocumentThatThePlatformAllowsIsRefused() {
    const std::string long_text(4000, 'k');
    Findings findings;
    const auto configuration = platform::ReadOperatorDocument(
        WithTenants(R"({"type":"routes","metadata":{"name":"r"},"spec":{"host":"a.example",
            "prefix":"/x/","kind":"safe","timeout-s":1.5,"target-latency-s":0.8,"priority":2,
            "max-attempts":2,"traffic-split":[{"service":"s1","weight":0.25},
            {"service":"s2","weight":1.5}]}},{"type":"tenants","metadata":{"name":")" +
                    long_text + R"("},"spec":{"api-keys":[")" + long_text + "\"]}}"),
        {}, findings);
    CPPUNIT_ASSERT_MESSAGE(findings.ToText(), configuration);
    const std::vector<WeightedService>& services = configuration->routes.front().services;
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{250}, services[0].weight);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1500}, services[1].weight);
    CPPUNIT_ASSERT(configuration->FindKeyHolder(ApiKeyDigest::Of(long_text)).organisation);
  }

  void TestTargetEntry() {
    Error error;
    const auto target = platform::ReadTargetEntry("i-1", kEntry, error);
    CPPUNIT_ASSERT((*target == RegisteredTarget{.name = "i-1",
                                                .service = "s1",
                                                .address = "10.1.0.9:8080",
                                                .domain = "z1",
                                                .slots = 3,
                                                .leaving = false,
                                                .incarnation = 1700000000000}));
    std::string draining = kEntry;
    draining.replace(draining.find("ready"), 5, "draining");
    CPPUNIT_ASSERT(platform::ReadTargetEntry("i-1", draining, error)->leaving);
  }

  // Guards against sending requests to a target that another writer put into the table with an
  // invalid row.
  void TestInvalidEntriesAreRefused() {
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"\"service\":\"s1\"", "\"service\":7"},
        {"\"service\":\"s1\",", ""},
        {"10.1.0.9:8080", "somewhere"},
        {"10.1.0.9:8080", "10.1.0.9:0"},
        {"\"slots\":3", "\"slots\":\"3\""},
        {"\"slots\":3", "\"slots\":0"},
        {"\"slots\":3", "\"slots\":-1"},
        {"\"ready\"", "\"resting\""},
        {"\"born\":1700000000000", "\"born\":1.5"}};
    for (const auto& [from, to] : changes) {
      std::string invalid_entry = kEntry;
      invalid_entry.replace(invalid_entry.find(from), from.size(), to);
      Error error;
      CPPUNIT_ASSERT_MESSAGE(invalid_entry,
                             !platform::ReadTargetEntry("i-1", invalid_entry, error));
      CPPUNIT_ASSERT(!error.message.empty());
    }
    Error error;
    CPPUNIT_ASSERT(!platform::ReadTargetEntry("i-1", "\xff\x00 not JSON", error));
    CPPUNIT_ASSERT(!platform::ReadTargetEntry("i-1", "", error));
  }

  // Guards against an entry of another writer that exhausts the stack or leaves a number's range.
  void TestOddEntryEndsTheProcess() {
    constexpr std::size_t kDepth = 500'000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::string nested_objects;
    for (std::size_t depth = 0; depth < kDepth; ++depth) {
      nested_objects += "{\"a\":";
    }
    const std::vector<std::string> entries = {
        nested,
        std::string(kDepth, '['),
        nested_objects + "1" + std::string(kDepth, '}'),
        nested_objects,
        WithField("\"slots\":3", "\"slots\":" + nested),
        WithField("\"slots\":3", "\"slots\":1e999"),
        WithField("\"slots\":3", "\"slots\":18446744073709551617"),
        WithField("\"slots\":3", "\"slots\":4294967299"),
        WithField("\"born\":1700000000000", "\"born\":" + std::string(5000, '9')),
        WithField("10.1.0.9:8080", "10.1.0.9:65536"),
        WithField("10.1.0.9:8080", "10.1.0.9:99999999999999999999"),
        WithField("10.1.0.9:8080", "10.1.0.9:-1")};
    for (const std::string& entry : entries) {
      Error error;
      CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 200), !platform::ReadTargetEntry("i-1", entry, error));
      CPPUNIT_ASSERT(!error.message.empty() && error.message.size() < 200);
    }
    // A field that is not read may be anything.
    Error error;
    CPPUNIT_ASSERT(
        platform::ReadTargetEntry("i-1", WithField("\"seq\":4", "\"seq\":" + nested), error));
    CPPUNIT_ASSERT(platform::ReadTargetEntry(
        "i-1", WithField("\"seq\":4", "\"seq\":" + std::string(300, '9')), error));
  }

  // Guards against applying slot counts and ejections to a restarted target that were recorded for
  // its previous process under the same name.
  void TestRestartedTargetHasNewId() {
    Findings findings;
    const auto base = platform::ReadOperatorDocument(kDocument, {.floor_share = 0.7}, findings);
    const RegisteredTarget first{.name = "i-1", .service = "s1", .slots = 3, .incarnation = 1};
    RegisteredTarget second = first;
    second.incarnation = 2;
    const auto before = WithRegisteredTargets(*base, {first});
    const auto after = WithRegisteredTargets(*base, {second});
    CPPUNIT_ASSERT(before.targets.front().id() != after.targets.front().id());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, before.FloorSlots(*before.FindService("s1")));
    const auto foreign = WithRegisteredTargets(*base, {{.name = "x", .service = "other"}});
    CPPUNIT_ASSERT(foreign.targets.empty());
  }

  // Guards against values that change when they are written to the store and read back.
  void TestBase64() {
    std::string bytes;
    for (int length = 0; length < 300; ++length) {
      CPPUNIT_ASSERT(bytes == platform::DecodeBase64(platform::EncodeBase64(bytes)));
      bytes += static_cast<char>(length * 7);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), platform::EncodeBase64("node-1"));
    CPPUNIT_ASSERT(!platform::DecodeBase64("abc"));
    CPPUNIT_ASSERT(!platform::DecodeBase64("a!c="));
  }

 private:
  static std::string WithField(const std::string& from, const std::string& to) {
    std::string entry = kEntry;
    return entry.replace(entry.find(from), from.size(), to);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);

}  // namespace
}  // namespace pimentopin

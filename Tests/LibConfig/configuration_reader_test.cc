#include "Libraries/LibConfig/configuration_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "Libraries/LibProtocol/codec.h"
#include "Tests/LibConfig/documents.h"

namespace pimentopin {
namespace {

using nlohmann::json;

class ConfigurationReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationReaderTest);
  CPPUNIT_TEST(TestValidDocumentSetsEveryField);
  CPPUNIT_TEST(TestCallerLabelsIncludeOrganisation);
  CPPUNIT_TEST(TestAllErrorsAreReportedTogether);
  CPPUNIT_TEST(TestSyntaxErrorReportsLineAndColumn);
  CPPUNIT_TEST(TestSingleErrors);
  CPPUNIT_TEST(TestMissingFields);
  CPPUNIT_TEST(TestDuplicateKey);
  CPPUNIT_TEST(TestPointerEscapes);
  CPPUNIT_TEST(TestSizeLimits);
  CPPUNIT_TEST(TestLeavingTargetCountsTowardsFloor);
  CPPUNIT_TEST(TestIndexedLookupsEqualLinearLookups);
  CPPUNIT_TEST(TestIndexIsValidInCopies);
  CPPUNIT_TEST(TestKeyIdentifiesItsOrganisation);
  CPPUNIT_TEST(TestKeyOfTwoOrganisationsIsAnError);
  CPPUNIT_TEST(TestDotSegmentsMatchNoRule);
  CPPUNIT_TEST(TestLargestDocumentFitsOneFrame);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is accepted without being stored in the configuration.
  void TestValidDocumentSetsEveryField() {
    const Configuration configuration = ReadValid(documents::Valid());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, configuration.revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, configuration.organisations.size());
    CPPUNIT_ASSERT_EQUAL(std::string("accra"), configuration.organisations[0].labels.at("region"));
    const Service expected_service{
        .name = "parts", .floor_slots = 4, .deadline = std::chrono::seconds(2), .queue_limit = 200};
    CPPUNIT_ASSERT(expected_service == configuration.services[0]);
    const Target expected_target{.name = "parts-1",
                                 .service = "parts",
                                 .address = "127.0.0.1:9001",
                                 .domain = "accra-a",
                                 .slots = 3,
                                 .connections = 300,
                                 .labels = {{"tier", "stock"}},
                                 .leaving = false};
    CPPUNIT_ASSERT(expected_target == configuration.targets[0]);
    const AccessRule expected_access{
        .callers = {.match_labels = {{"organisation", "wheels"}}},
        .targets = {.match_expressions = {{"tier", SelectorOperator::kIn, {"stock"}}}},
        .services = {"parts"}};
    CPPUNIT_ASSERT(expected_access == configuration.access[0]);
    const WorkRule expected_work{.services = {"booking"},
                                 .methods = {"POST"},
                                 .path_prefix = "/bookings",
                                 .deadline = std::chrono::seconds(5)};
    CPPUNIT_ASSERT(expected_work == configuration.work[0]);
    CPPUNIT_ASSERT(configuration.work[1].is_long);
    CPPUNIT_ASSERT(configuration.work[2].affinity);
    const RequestLimits expected_limits{.max_header_bytes = 16384,
                                        .max_body_bytes = 65536,
                                        .header_timeout = std::chrono::seconds(3),
                                        .idle_timeout = std::chrono::seconds(15)};
    CPPUNIT_ASSERT(configuration.request_limits == expected_limits);
  }

  // Guards against selectors that cannot match the organisation of a caller or its labels.
  void TestCallerLabelsIncludeOrganisation() {
    json document = documents::Valid();
    document["callers"][1] = {
        {"name", "desk-2"}, {"organisation", "wheels"}, {"labels", {{"region", "tema"}}}};
    const Configuration configuration = ReadValid(document);
    const Labels first_labels{
        {"organisation", "wheels"}, {"region", "accra"}, {"role", "front-desk"}};
    CPPUNIT_ASSERT(first_labels == configuration.callers[0].labels);
    const Labels second_labels{{"organisation", "wheels"}, {"region", "tema"}};
    CPPUNIT_ASSERT(second_labels == configuration.callers[1].labels);
  }

  // Guards against a reader that stops at the first error, so that an operator has to apply a
  // document once per error to find them all.
  void TestAllErrorsAreReportedTogether() {
    json document = documents::Valid();
    document["extra"] = 1;
    document["organisations"][1]["name"] = "Lifts!";
    document["callers"][1]["organisation"] = "nobody";
    document["services"][0]["floor_slots"] = 7;
    document["services"].push_back(
        {{"name", "idle"}, {"floor_slots", 0}, {"deadline_ms", 1}, {"queue_limit", 0}});
    document["targets"][2]["slots"] = "three";
    document["targets"][1]["address"] = "localhost:80";
    document["targets"][2]["name"] = "parts-2";
    document["access"][0]["targets"]["match_expressions"][0]["values"] = json::array();
    document["access"][1]["callers"]["match_expressions"][0]["values"] = {"x"};
    document["work"][0]["deadline_ms"] = 0;
    document["work"][2]["services"] = {"part"};
    const auto errors = Errors(document);
    const std::map<std::string, std::string> expected{
        {"/extra", "unknown field"},
        {"/organisations/1/name", "'Lifts!' must match [a-z0-9-]{1,63}"},
        {"/callers/1/organisation", "unknown organisation 'nobody'"},
        {"/services/0/floor_slots", "7 is above the 6 slots of the service's targets"},
        {"/services/2", "service has no targets"},
        {"/targets/2/slots", "must be an integer, not string"},
        {"/targets/1/address", "'localhost:80' must be IP:port with port 1 to 65535"},
        {"/targets/2/name", "'parts-2' is already used at /targets/1/name"},
        {"/access/0/targets/match_expressions/0/values", "In needs at least one value"},
        {"/access/1/callers/match_expressions/0/values", "Exists takes no values"},
        {"/work/0/deadline_ms", "0 is outside 1 to 3600000"},
        {"/work/2/services/0", "unknown service 'part'"}};
    AssertErrors(expected, errors);
  }

  // Guards against a syntax error that is reported without its position in the file.
  void TestSyntaxErrorReportsLineAndColumn() {
    const Findings findings = FindingsOf("{\n  \"services\": [,]\n}");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
    CPPUNIT_ASSERT_EQUAL(std::string("line 2, column 16"), findings.all()[0].place);
    CPPUNIT_ASSERT(findings.all()[0].message.starts_with("syntax error"));
    CPPUNIT_ASSERT_EQUAL(std::string("line 1, column 1"), FindingsOf("").all()[0].place);
    CPPUNIT_ASSERT_EQUAL(std::string("line 1, column 3"), FindingsOf("{\"\xff\"}").all()[0].place);
  }

  // Guards against a constraint on the document that is not enforced. Each change must produce
  // exactly one finding, at the changed place.
  void TestSingleErrors() {
    const std::vector<std::pair<std::string, json>> changes{
        {"/organisations", 3},
        {"/callers/0", "desk"},
        {"/callers/0/labels/role", 1},
        {"/callers/0/labels/organisation", "lifts"},
        {"/organisations/0/labels/organisation", "lifts"},
        {"/callers/0/labels/bad key", "x"},
        {"/callers/0/labels/role", "not allowed"},
        {"/callers/0/name", ""},
        {"/callers/0/name", std::string(64, 'a')},
        {"/callers/0/colour", "red"},
        {"/organisations/0/key_digests", "key"},
        {"/organisations/0/key_digests", {std::string(64, 'A')}},
        {"/organisations/0/priority", -1},
        {"/organisations/0/requests_per_second", -0.5},
        {"/organisations/0/burst", "many"},
        {"/requires_keys", 1},
        {"/services/0/queue_limit", -1},
        {"/services/0/queue_limit", 18446744073709551615U},
        {"/services/0/queue_limit", 1.5},
        {"/services/0/deadline_ms", 3600001},
        {"/services/0/deadline_ms", nullptr},
        {"/targets/0/slots", 0},
        {"/targets/0/connections", 2},
        {"/targets/0/leaving", "yes"},
        {"/targets/0/address", "127.0.0.1:0"},
        {"/targets/0/address", "127.0.0.1"},
        {"/targets/0/address", "127.0.0.1:70000"},
        {"/targets/0/address", "::1:80"},
        {"/targets/1/address", "127.0.0.1:9001"},
        {"/targets/0/domain", "Accra"},
        {"/targets/0/service", "unheard-of"},
        {"/access/0/services", json::array()},
        {"/access/0/callers", json::array()},
        {"/access/0/callers/match_label", json::object()},
        {"/access/0/targets/match_expressions/0/operator", "in"},
        {"/access/0/targets/match_expressions/0/key", ""},
        {"/access/0/targets/match_expressions/0/values/0", 3},
        {"/work/0/methods", json::array()},
        {"/work/0/methods/0", "post"},
        {"/work/0/path_prefix", "bookings"},
        {"/work/0/path_prefix", "/" + std::string(1024, 'a')},
        {"/work/0/idempotent", 0},
        {"/work/0/long", "no"},
        {"/work/0/affinity", nullptr}};
    for (const auto& [place, value] : changes) {
      json document = documents::Valid();
      document[json::json_pointer(place)] = value;
      const auto errors = Errors(document);
      // References to a missing section are invalid as well, and a service that lost a target has
      // too few slots for its floor.
      const bool has_consequential_errors =
          place == "/organisations" || place == "/targets/0/service";
      const bool names_element = place == "/organisations/0/key_digests" && value.is_array();
      CPPUNIT_ASSERT_MESSAGE(place + " " + value.dump(),
                             errors.contains(names_element ? place + "/0" : place));
      CPPUNIT_ASSERT_MESSAGE(place + " " + value.dump(),
                             has_consequential_errors || errors.size() == 1);
    }
    json duplicated = documents::Valid();
    duplicated["access"][0]["services"] = {"parts", "parts"};
    AssertErrors({{"/access/0/services/1", "'parts' is listed more than once"}},
                 Errors(duplicated));
  }

  // Guards against a required field that silently takes a default value when it is missing.
  void TestMissingFields() {
    const std::vector<std::string> required{"/access",
                                            "/organisations/1/name",
                                            "/callers/0/organisation",
                                            "/services/0/floor_slots",
                                            "/services/0/deadline_ms",
                                            "/services/0/queue_limit",
                                            "/targets/0/address",
                                            "/targets/0/domain",
                                            "/targets/0/slots",
                                            "/targets/0/connections",
                                            "/access/0/callers",
                                            "/access/0/targets",
                                            "/access/0/targets/match_expressions/0/operator",
                                            "/access/0/targets/match_expressions/0/key",
                                            "/access/0/targets/match_expressions/0/values",
                                            "/work/0/idempotent"};
    for (const std::string& place : required) {
      json document = documents::Valid();
      const json::json_pointer pointer(place);
      document[pointer.parent_pointer()].erase(pointer.back());
      CPPUNIT_ASSERT_MESSAGE(place, Errors(document).contains(place));
    }
  }

  // Guards against duplicate keys, of which the JSON parser silently keeps only the last value.
  void TestDuplicateKey() {
    std::string text = documents::Valid().dump();
    const std::string slots_field = "\"slots\":3";
    text.replace(text.find(slots_field), slots_field.size(), "\"slots\":3,\"slots\":30");
    const Findings findings = FindingsOf(text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
    CPPUNIT_ASSERT_EQUAL(std::string("/targets/0/slots"), findings.all()[0].place);
  }

  // Guards against ambiguous JSON pointers for keys that contain '/' or '~'.
  void TestPointerEscapes() {
    json document = documents::Valid();
    document["a/b~c"] = 1;
    AssertErrors({{"/a~1b~0c", "unknown field"}}, Errors(document));
  }

  // Guards against documents that exhaust the memory or the stack.
  void TestSizeLimits() {
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    CPPUNIT_ASSERT_EQUAL(std::string("nested more than 16 levels deep"),
                         FindingsOf(deep).all()[0].message);
    const std::string large(ConfigurationLimits().max_bytes + 1, ' ');
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindingsOf(large).all().size());
    json many = documents::Valid();
    for (int index = 0; index < 5000; ++index) {
      many["unknown-" + std::to_string(index)] = index;
    }
    const Findings findings = FindingsOf(many.dump());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1001}, findings.all().size());
    CPPUNIT_ASSERT_EQUAL(std::string("4000 further errors not listed"),
                         findings.all().back().message);
    json long_key = documents::Valid();
    long_key[std::string(100'000, 'k')] = 1;
    CPPUNIT_ASSERT(FindingsOf(long_key.dump()).ToText().size() < 1000);
  }

  // Guards against a drain that is rejected because the remaining slots are below the floor.
  void TestLeavingTargetCountsTowardsFloor() {
    json document = documents::Valid();
    document["targets"][0]["leaving"] = true;
    CPPUNIT_ASSERT(ReadValid(document).targets[0].leaving);
  }

  // Guards against an index that selects a different entry or rule than a linear search.
  void TestIndexedLookupsEqualLinearLookups() {
    const Configuration indexed = ReadValid(documents::Valid());
    CPPUNIT_ASSERT(indexed.index.pointer != nullptr);
    Configuration linear = indexed;
    linear.index.pointer = nullptr;
    for (const char* name : {"desk-1", "desk-2", "desk-3", ""}) {
      CPPUNIT_ASSERT_EQUAL(linear.FindCaller(name) == nullptr, indexed.FindCaller(name) == nullptr);
    }
    CPPUNIT_ASSERT(indexed.FindService("nothing") == nullptr);
    CPPUNIT_ASSERT(indexed.FindTarget(IdFromName<TargetId>("nothing")) == nullptr);
    for (const Target& target : linear.targets) {
      CPPUNIT_ASSERT(*indexed.FindTarget(target.id()) == target);
    }
    for (const Service& service : linear.services) {
      CPPUNIT_ASSERT(*indexed.FindService(service.name) == service);
      CPPUNIT_ASSERT(*indexed.FindService(service.id()) == service);
      CPPUNIT_ASSERT(Names(indexed.TargetsOf(service.name)) ==
                     Names(linear.TargetsOf(service.name)));
      for (const Caller& caller : linear.callers) {
        CPPUNIT_ASSERT(*indexed.FindCaller(caller.name) == caller);
        CPPUNIT_ASSERT(Names(indexed.AllowedTargets(caller, service)) ==
                       Names(linear.AllowedTargets(caller, service)));
        for (const char* method : {"GET", "POST"}) {
          for (const char* path : {"/", "/bookings/1", "/large"}) {
            CPPUNIT_ASSERT(indexed.RequestTraitsFor(caller, service, method, path) ==
                           linear.RequestTraitsFor(caller, service, method, path));
          }
        }
      }
    }
  }

  // Guards against a key that is taken for that of another organisation, with or without the index.
  void TestKeyIdentifiesItsOrganisation() {
    json document = documents::Valid();
    document["requires_keys"] = true;
    document["organisations"][1]["key_digests"] = {ApiKeyDigest::Of("key-1").ToHex(),
                                                   ApiKeyDigest::Of("key-2").ToHex()};
    document["organisations"][1]["priority"] = 3;
    const Configuration indexed = ReadValid(document);
    CPPUNIT_ASSERT(indexed.requires_keys);
    CPPUNIT_ASSERT(indexed.organisations[1].priority == 3U);
    Configuration linear = indexed;
    linear.index.pointer = nullptr;
    for (const Configuration& configuration : {indexed, linear}) {
      const KeyHolder holder = configuration.FindKeyHolder(ApiKeyDigest::Of("key-2"));
      CPPUNIT_ASSERT_EQUAL(std::string("lifts"), holder.organisation->name);
      CPPUNIT_ASSERT_EQUAL(std::string("desk-2"), holder.caller->name);
      CPPUNIT_ASSERT(configuration.FindKeyHolder(ApiKeyDigest::Of("key-3")) == KeyHolder{});
    }
  }

  // Guards against a key whose requests may be counted for either of two organisations.
  void TestKeyOfTwoOrganisationsIsAnError() {
    json document = documents::Valid();
    const std::string digest = ApiKeyDigest::Of("key-1").ToHex();
    document["organisations"][0]["key_digests"] = {digest};
    document["organisations"][1]["key_digests"] = {digest};
    AssertErrors({{"/organisations/1/key_digests/0",
                   "the key is already used at /organisations/0/key_digests/0"}},
                 Errors(document));
  }

  // Guards against an index of a copy that refers to the destroyed original.
  void TestIndexIsValidInCopies() {
    auto original = std::make_unique<Configuration>(ReadValid(documents::Valid()));
    const Configuration copy = *original;
    CPPUNIT_ASSERT(copy == *original);
    original.reset();
    CPPUNIT_ASSERT(copy.FindTarget(copy.targets[1].id()) == &copy.targets[1]);
  }

  // Guards against a document that can be committed, but does not fit into the frame in which hosts
  // send it to each other.
  void TestLargestDocumentFitsOneFrame() {
    const Envelope envelope{.message = ConfigurationDocument{
                                .revision = 1,
                                .change_id = std::string(kMaxWireNameBytes, 'c'),
                                .author = std::string(kMaxWireNameBytes, 'a'),
                                .content = std::string(ConfigurationLimits().max_bytes, ' ')}};
    CPPUNIT_ASSERT(!EncodeFrame(envelope).empty());
  }

  // Guards against a retried booking: a path such as /large/../bookings starts with the prefix of
  // an idempotent rule, but may resolve to an operation that is not idempotent.
  void TestDotSegmentsMatchNoRule() {
    const Configuration configuration = ReadValid(documents::Valid());
    const Caller& caller = configuration.callers[0];
    const Service& service = configuration.services[1];
    const auto is_idempotent = [&](const char* path) {
      return configuration.RequestTraitsFor(caller, service, "POST", path).idempotent;
    };
    CPPUNIT_ASSERT(is_idempotent("/large/7"));
    CPPUNIT_ASSERT(is_idempotent("/large/..."));
    CPPUNIT_ASSERT(is_idempotent("/large/a..b"));
    for (const char* path : {"/large/../bookings", "/large/%2e%2E/bookings", "/large/.%2e",
                             "/large/./x", "/large/.."}) {
      CPPUNIT_ASSERT_MESSAGE(path, !is_idempotent(path));
    }
  }

 private:
  static std::vector<std::string> Names(const std::vector<const Target*>& targets) {
    std::vector<std::string> names;
    for (const Target* target : targets) {
      names.push_back(target->name);
    }
    return names;
  }

  static Configuration ReadValid(const json& document) {
    Findings findings;
    const auto configuration = ReadConfiguration(document.dump(), 7, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT(configuration.has_value());
    return *configuration;
  }

  static Findings FindingsOf(const std::string& text) {
    Findings findings;
    CPPUNIT_ASSERT(!ReadConfiguration(text, 7, findings).has_value());
    CPPUNIT_ASSERT(!findings.empty());
    return findings;
  }

  static std::map<std::string, std::string> Errors(const json& document) {
    std::map<std::string, std::string> errors;
    const Findings findings = FindingsOf(document.dump());
    for (const Finding& finding : findings.all()) {
      CPPUNIT_ASSERT_MESSAGE(finding.place, errors.emplace(finding.place, finding.message).second);
    }
    return errors;
  }

  static void AssertErrors(const std::map<std::string, std::string>& expected,
                           const std::map<std::string, std::string>& actual) {
    std::string actual_text;
    for (const auto& [place, message] : actual) {
      actual_text += place + ": " + message + "\n";
    }
    std::string expected_text;
    for (const auto& [place, message] : expected) {
      expected_text += place + ": " + message + "\n";
    }
    CPPUNIT_ASSERT_EQUAL(expected_text, actual_text);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReaderTest);

}  // namespace
}  // namespace pimentopin

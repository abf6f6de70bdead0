#include "Libraries/LibConfig/configuration_difference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "Libraries/LibConfig/configuration_reader.h"
#include "Tests/LibConfig/documents.h"

namespace pimentopin {
namespace {

using nlohmann::json;

class ConfigurationDifferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDifferenceTest);
  CPPUNIT_TEST(TestEqualConfigurations);
  CPPUNIT_TEST(TestChangedFields);
  CPPUNIT_TEST(TestChangeOfAnyFieldIsReported);
  CPPUNIT_TEST(TestAddedAndRemoved);
  CPPUNIT_TEST(TestInheritedLabelIsReportedOnce);
  CPPUNIT_TEST(TestInsertedRule);
  CPPUNIT_TEST(TestJsonRoundTrip);
  CPPUNIT_TEST(TestMalformedJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against differences that are caused by the order of entries or the revision alone.
  void TestEqualConfigurations() {
    json reordered = documents::Valid();
    std::swap(reordered["targets"][0], reordered["targets"][2]);
    CPPUNIT_ASSERT(CompareConfigurations(Read(documents::Valid()), Read(reordered)).empty());
  }

  void TestChangedFields() {
    json changed = documents::Valid();
    changed["targets"][0]["slots"] = 4;
    changed["targets"][0]["labels"]["tier"] = "archive";
    changed["targets"][1]["labels"]["new"] = "x";
    changed["services"][0]["deadline_ms"] = 2500;
    changed["work"][0].erase("deadline_ms");
    changed["request_limits"]["idle_timeout_ms"] = 20000;
    const std::string expected =
        "~ service parts deadline_ms: 2000 -> 2500\n"
        "~ target parts-1 labels/tier: \"stock\" -> \"archive\"\n"
        "~ target parts-1 slots: 3 -> 4\n"
        "~ target parts-2 labels/new: (absent) -> \"x\"\n"
        "~ work 0 deadline_ms: 5000 -> (absent)\n"
        "~ request_limits callers idle_timeout_ms: 15000 -> 20000\n";
    CPPUNIT_ASSERT_EQUAL(expected, Text(documents::Valid(), changed));
  }

  // Guards against an empty difference although an entry changed, because a field is not compared.
  void TestChangeOfAnyFieldIsReported() {
    struct Case {
      std::string change;
      std::function<void(Configuration&)> apply;
    };
    const std::vector<Case> cases = {
        {"organisation wheels key_digests",
         [](Configuration& changed) {
           changed.organisations[0].keys.push_back(ApiKeyDigest::Of("key"));
         }},
        {"organisation wheels priority",
         [](Configuration& changed) { changed.organisations[0].priority = 0; }},
        {"organisation wheels requests_per_second",
         [](Configuration& changed) { changed.organisations[0].requests_per_second = 0.5; }},
        {"organisation wheels burst",
         [](Configuration& changed) { changed.organisations[0].burst = 1; }},
        {"keys requests requires_keys",
         [](Configuration& changed) { changed.requires_keys = true; }},
        {"service parts floor_slots",
         [](Configuration& changed) { changed.services[0].floor_slots = 5; }},
        {"service parts floor_share",
         [](Configuration& changed) { changed.services[0].floor_share = 0.25; }},
        {"service parts deadline_ms",
         [](Configuration& changed) { changed.services[0].deadline += Duration(1); }},
        {"service parts queue_limit",
         [](Configuration& changed) { changed.services[0].queue_limit = 201; }},
        {"service parts target_connections",
         [](Configuration& changed) { changed.services[0].target_connections = 7; }},
        {"service parts health_path",
         [](Configuration& changed) { changed.services[0].health_path = "/health"; }},
        {"target parts-1 service",
         [](Configuration& changed) { changed.targets[0].service = "booking"; }},
        {"target parts-1 address",
         [](Configuration& changed) { changed.targets[0].address = "127.0.0.1:9009"; }},
        {"target parts-1 domain",
         [](Configuration& changed) { changed.targets[0].domain = "accra-c"; }},
        {"target parts-1 slots", [](Configuration& changed) { changed.targets[0].slots = 4; }},
        {"target parts-1 connections",
         [](Configuration& changed) { changed.targets[0].connections = 1; }},
        {"target parts-1 labels/tier",
         [](Configuration& changed) { changed.targets[0].labels["tier"] = "archive"; }},
        {"target parts-1 leaving",
         [](Configuration& changed) { changed.targets[0].leaving = true; }},
        {"target parts-1 instance",
         [](Configuration& changed) { changed.targets[0].instance = "parts-1"; }},
        {"target parts-1 incarnation",
         [](Configuration& changed) { changed.targets[0].incarnation = 9; }},
        {"access 0 callers",
         [](Configuration& changed) { changed.access[0].callers.match_labels.clear(); }},
        {"access 0 targets",
         [](Configuration& changed) {
           changed.access[0].targets.match_expressions[0].op = SelectorOperator::kNotIn;
         }},
        {"access 0 services", [](Configuration& changed) { changed.access[0].services.clear(); }},
        {"work 0 services", [](Configuration& changed) { changed.work[0].services.clear(); }},
        {"work 0 methods", [](Configuration& changed) { changed.work[0].methods.clear(); }},
        {"work 0 path_prefix", [](Configuration& changed) { changed.work[0].path_prefix = "/"; }},
        {"work 0 callers",
         [](Configuration& changed) { changed.work[0].callers.match_labels["role"] = "guest"; }},
        {"work 0 idempotent", [](Configuration& changed) { changed.work[0].idempotent = true; }},
        {"work 0 long", [](Configuration& changed) { changed.work[0].is_long = true; }},
        {"work 0 affinity", [](Configuration& changed) { changed.work[0].affinity = true; }},
        {"work 0 deadline_ms", [](Configuration& changed) { changed.work[0].deadline.reset(); }},
        {"route parts host", [](Configuration& changed) { changed.routes[0].host = "b.test"; }},
        {"route parts path_prefix",
         [](Configuration& changed) { changed.routes[0].path_prefix = "/p/"; }},
        {"route parts services",
         [](Configuration& changed) { changed.routes[0].services[0].weight = 2; }},
        {"route parts caller", [](Configuration& changed) { changed.routes[0].caller = "desk-2"; }},
        {"route parts idempotent",
         [](Configuration& changed) { changed.routes[0].idempotent = true; }},
        {"route parts bulk", [](Configuration& changed) { changed.routes[0].bulk = true; }},
        {"route parts max_attempts",
         [](Configuration& changed) { changed.routes[0].max_attempts = 2; }},
        {"route parts timeout_ms",
         [](Configuration& changed) { changed.routes[0].timeout += Duration(1); }},
        {"route parts latency_objective_ms",
         [](Configuration& changed) { changed.routes[0].latency_objective += Duration(1); }},
        {"route parts anonymous",
         [](Configuration& changed) { changed.routes[0].anonymous = true; }},
        {"route parts priority", [](Configuration& changed) { changed.routes[0].priority = 1; }},
        {"request_limits callers max_header_bytes",
         [](Configuration& changed) { changed.request_limits->max_header_bytes = 1; }},
        {"request_limits callers max_body_bytes",
         [](Configuration& changed) { changed.request_limits->max_body_bytes = 1; }},
        {"request_limits callers header_timeout_ms",
         [](Configuration& changed) { changed.request_limits->header_timeout += Duration(1); }},
        {"request_limits callers idle_timeout_ms",
         [](Configuration& changed) { changed.request_limits->idle_timeout += Duration(1); }},
    };
    Configuration before = Read(documents::Valid());
    before.routes = {{.name = "parts",
                      .host = "a.test",
                      .path_prefix = "/",
                      .services = {{.service = "parts"}},
                      .caller = "desk-1"}};
    std::string missed;
    for (const Case& item : cases) {
      Configuration after = before;
      item.apply(after);
      const std::string text = DifferenceToText(CompareConfigurations(before, after));
      if (!text.starts_with("~ " + item.change + ": ")) {
        missed += item.change + "\n" + text;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), missed);
  }

  void TestAddedAndRemoved() {
    json changed = documents::Valid();
    changed["organisations"].push_back({{"name", "axles"}});
    changed["callers"].erase(1);
    const std::string expected =
        "+ organisation axles: {\"labels\":{}}\n"
        "- caller desk-2: {\"labels\":{},\"organisation\":\"lifts\"}\n";
    CPPUNIT_ASSERT_EQUAL(expected, Text(documents::Valid(), changed));
  }

  // Guards against a changed organisation label that is also reported for each of its callers.
  void TestInheritedLabelIsReportedOnce() {
    json changed = documents::Valid();
    changed["organisations"][0]["labels"]["region"] = "tema";
    CPPUNIT_ASSERT_EQUAL(
        std::string("~ organisation wheels labels/region: \"accra\" -> \"tema\"\n"),
        Text(documents::Valid(), changed));
  }

  // Guards against an inserted rule that is reported as a change of all later rules.
  void TestInsertedRule() {
    json changed = documents::Valid();
    const json rule = {{"path_prefix", "/x"}, {"idempotent", false}};
    changed["work"].insert(changed["work"].begin() + 1, rule);
    const auto difference = CompareConfigurations(Read(documents::Valid()), Read(changed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, difference.size());
    CPPUNIT_ASSERT(difference[0].kind == DifferenceKind::kWorkRule);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), difference[0].name);
    CPPUNIT_ASSERT(!difference[0].before && difference[0].after);
    const auto reverse = CompareConfigurations(Read(changed), Read(documents::Valid()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reverse.size());
    CPPUNIT_ASSERT(reverse[0].before == difference[0].after && !reverse[0].after);
  }

  // Guards against a difference that the operator tool cannot parse.
  void TestJsonRoundTrip() {
    json changed = documents::Valid();
    changed["organisations"].push_back({{"name", "axles"}});
    changed["targets"][1]["labels"].erase("tier");
    changed["access"].erase(1);
    const auto difference = CompareConfigurations(Read(documents::Valid()), Read(changed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, difference.size());
    CPPUNIT_ASSERT(difference == DifferenceFromJson(DifferenceToJson(difference)));
    CPPUNIT_ASSERT(DifferenceFromJson("[]")->empty());
  }

  void TestMalformedJson() {
    for (const char* text : {"", "{}", "[1]", "[{}]", "[null]", "[[\"kind\"]]",
                             R"([{"kind":"colour","name":"a","field":""}])",
                             R"([{"kind":1,"name":"a","field":""}])"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DifferenceFromJson(text));
    }
  }

 private:
  static Configuration Read(const json& document) {
    Findings findings;
    const auto configuration = ReadConfiguration(document.dump(), 1, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    return *configuration;
  }

  static std::string Text(const json& before, const json& after) {
    return DifferenceToText(CompareConfigurations(Read(before), Read(after)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDifferenceTest);

}  // namespace
}  // namespace pimentopin

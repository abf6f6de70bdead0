#include "Libraries/LibConfig/configuration_difference.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Libraries/LibConfig/configuration_reader.h"
#include "Tests/LibConfig/documents.h"

namespace pimentopin {
namespace {

using nlohmann::json;

class ConfigurationDifferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDifferenceTest);
  CPPUNIT_TEST(TestEqualConfigurations);
  CPPUNIT_TEST(TestChangedFields);
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

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibConfig/configuration_reader.h"
#include "Tests/LibConfig/documents.h"
#include "Tests/property.h"

namespace pimentopin {
namespace {

using nlohmann::json;

json RandomValue(int depth) {
  switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
      return nullptr;
    case 1:
      return *rc::gen::arbitrary<bool>();
    case 2:
      return *rc::gen::arbitrary<std::int64_t>();
    case 3:
      return *rc::gen::arbitrary<double>();
    case 4:
      return *rc::gen::container<std::string>(rc::gen::inRange('\x20', '\x7f'));
    case 5:
      return *rc::gen::element<std::string>("parts", "wheels", "In", "127.0.0.1:9001", "tier");
    case 6: {
      json array = json::array();
      for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        array.push_back(RandomValue(depth - 1));
      }
      return array;
    }
    default: {
      json object = json::object();
      for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        object[*rc::gen::element<std::string>("name", "labels", "slots", "key", "values",
                                              "operator", "x/y", "")] = RandomValue(depth - 1);
      }
      return object;
    }
  }
}

// Replaces or removes one randomly chosen value in the document.
void MutateRandomValue(json& value) {
  json* selected = &value;
  while (selected->is_structured() && !selected->empty() && *rc::gen::inRange(0, 8) != 0) {
    const int index = *rc::gen::inRange(0, static_cast<int>(selected->size()));
    auto child = selected->begin();
    std::advance(child, index);
    if (*rc::gen::inRange(0, 8) == 0) {
      selected->erase(child);
      return;
    }
    selected = &*child;
  }
  *selected = RandomValue(2);
}

class ConfigurationPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationPropertyTest);
  CPPUNIT_TEST(TestRandomBytes);
  CPPUNIT_TEST(TestRandomJson);
  CPPUNIT_TEST(TestMutatedDocument);
  CPPUNIT_TEST(TestMutatedText);
  CPPUNIT_TEST(TestDifferenceOfMutations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against crashes and exceptions on input that is not JSON.
  void TestRandomBytes() {
    CheckProperty("random bytes", 2000,
                  [] { AssertValueOrFindings(*rc::gen::arbitrary<std::string>()); });
  }

  // Guards against crashes and exceptions on valid JSON of arbitrary structure.
  void TestRandomJson() {
    CheckProperty("random JSON", 2000, [] { AssertValueOrFindings(RandomValue(4).dump()); });
  }

  // Guards against an invalid value in a document that is rejected without a finding, or that is
  // accepted in spite of a finding.
  void TestMutatedDocument() {
    CheckProperty("mutated documents", 3000, [] {
      json document = documents::Valid();
      for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
        MutateRandomValue(document);
      }
      AssertValueOrFindings(document.dump());
    });
  }

  // Guards against crashes and exceptions on truncated or corrupted documents.
  void TestMutatedText() {
    CheckProperty("mutated texts", 3000, [] {
      std::string text = documents::Valid().dump();
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      if (*rc::gen::arbitrary<bool>()) {
        text[position] = *rc::gen::arbitrary<char>();
      } else {
        text.resize(position);
      }
      AssertValueOrFindings(text);
    });
  }

  // Guards against changes that are missing from the difference: the difference of two valid
  // configurations is empty if and only if they are equal.
  void TestDifferenceOfMutations() {
    Findings none;
    const Configuration original = *ReadConfiguration(documents::Valid().dump(), 1, none);
    CheckProperty("differences", 2000, [&] {
      json document = documents::Valid();
      document["targets"][1]["slots"] = *rc::gen::inRange(2, 5);
      document["targets"][0]["labels"]["tier"] = *rc::gen::element("stock", "archive");
      document["services"][1]["queue_limit"] = *rc::gen::inRange(49, 52);
      document["access"][1]["targets"]["match_labels"]["tier"] =
          *rc::gen::element("stock", "archive");
      if (*rc::gen::arbitrary<bool>()) {
        document["access"][1]["targets"] = json::object();
      }
      if (*rc::gen::arbitrary<bool>()) {
        document["work"].erase(*rc::gen::inRange(0, 3));
      }
      Findings findings;
      const auto changed = ReadConfiguration(document.dump(), 1, findings);
      RC_ASSERT(changed.has_value());
      const ConfigurationDifference difference = CompareConfigurations(original, *changed);
      RC_ASSERT(difference.empty() == (original == *changed));
      RC_ASSERT(DifferenceFromJson(DifferenceToJson(difference)) == difference);
    });
  }

 private:
  static void AssertValueOrFindings(const std::string& text) {
    Findings findings;
    const auto configuration = ReadConfiguration(text, 1, findings);
    RC_ASSERT(configuration.has_value() == findings.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPropertyTest);

}  // namespace
}  // namespace pimentopin

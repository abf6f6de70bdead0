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

// Replaces or removes one randomly chosen value inside the document.
void MutateSomewhere(json& value) {
  json* place = &value;
  while (place->is_structured() && !place->empty() && *rc::gen::inRange(0, 8) != 0) {
    const int index = *rc::gen::inRange(0, static_cast<int>(place->size()));
    auto child = place->begin();
    std::advance(child, index);
    if (*rc::gen::inRange(0, 8) == 0) {
      place->erase(child);
      return;
    }
    place = &*child;
  }
  *place = RandomValue(2);
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
                  [] { CheckEitherValueOrFindings(*rc::gen::arbitrary<std::string>()); });
  }

  // Guards against crashes on JSON of any shape.
  void TestRandomJson() {
    CheckProperty("random JSON", 2000, [] { CheckEitherValueOrFindings(RandomValue(4).dump()); });
  }

  // Guards against a fault in one place of a document that is accepted without
  // effect or that is refused without a finding.
  void TestMutatedDocument() {
    CheckProperty("mutated documents", 3000, [] {
      json document = documents::Valid();
      for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
        MutateSomewhere(document);
      }
      CheckEitherValueOrFindings(document.dump());
    });
  }

  // Guards against crashes on documents that were cut or damaged on the way.
  void TestMutatedText() {
    CheckProperty("mutated texts", 3000, [] {
      std::string text = documents::Valid().dump();
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      if (*rc::gen::arbitrary<bool>()) {
        text[position] = *rc::gen::arbitrary<char>();
      } else {
        text.resize(position);
      }
      CheckEitherValueOrFindings(text);
    });
  }

  // Guards against a change that the difference does not show: two valid
  // configurations have an empty difference exactly if they are equal.
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
      const ConfigurationDifference difference = Compare(original, *changed);
      RC_ASSERT(difference.empty() == (original == *changed));
      RC_ASSERT(DifferenceFromJson(DifferenceToJson(difference)) == difference);
    });
  }

 private:
  static void CheckEitherValueOrFindings(const std::string& text) {
    Findings findings;
    const auto configuration = ReadConfiguration(text, 1, findings);
    RC_ASSERT(configuration.has_value() == findings.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPropertyTest);

}  // namespace
}  // namespace pimentopin

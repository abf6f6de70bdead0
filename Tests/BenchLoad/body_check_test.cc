#include "Bench/Load/body_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {
namespace {

class BodyCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyCheckTest);
  CPPUNIT_TEST(TestExpectedBody);
  CPPUNIT_TEST(TestUnexpectedBodies);
  CPPUNIT_TEST(TestFieldThatIsNoStringIsUnexpected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestExpectedBody() { CPPUNIT_ASSERT(IsExpected(Line("\"parts\"", "\"load-7\""), "load-7")); }

  // Guards against counting a response to another request, or an incomplete one, as correct.
  void TestUnexpectedBodies() {
    CPPUNIT_ASSERT(!IsExpected(Line("\"booking\"", "\"load-7\""), "load-7"));
    CPPUNIT_ASSERT(!IsExpected(Line("\"parts\"", "\"other-7\""), "other-7"));
    CPPUNIT_ASSERT(!IsExpected(Line("\"parts\"", "\"load-7\""), "load-8"));
    CPPUNIT_ASSERT(!IsExpected("{}\n", "load-7"));
    CPPUNIT_ASSERT(!IsExpected("[]\n", "load-7"));
    CPPUNIT_ASSERT(!IsExpected("no JSON\n", "load-7"));
    CPPUNIT_ASSERT(!IsExpectedBody("{}", {.service = "parts"}));
    CPPUNIT_ASSERT(!IsExpectedBody("", {.service = "parts"}));
  }

  // Guards against a wrong response that ends the load run with an exception.
  void TestFieldThatIsNoStringIsUnexpected() {
    for (const char* value : {"7", "null", "{}", "[\"parts\"]", "true"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !IsExpected(Line(value, "\"load-7\""), "load-7"));
      CPPUNIT_ASSERT_MESSAGE(value, !IsExpected(Line("\"parts\"", value), "load-7"));
    }
  }

 private:
  static constexpr std::size_t kPatternSize = 30;

  static std::string Line(const std::string& service, const std::string& request_id) {
    return R"({"service":)" + service + R"(,"request_id":)" + request_id + "}\n";
  }

  // Appends the pattern of `pattern_id` to the line and checks the body.
  static bool IsExpected(std::string line, std::string_view pattern_id) {
    for (std::size_t index = 0; index < kPatternSize; ++index) {
      line.push_back(static_cast<char>('a' + (StableHash(pattern_id) % 26 + index) % 26));
    }
    return IsExpectedBody(line,
                          {.service = "parts", .id_prefix = "load-", .pattern_size = kPatternSize});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCheckTest);

}  // namespace
}  // namespace pimentopin

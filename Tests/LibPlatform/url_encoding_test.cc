#include "Libraries/LibPlatform/url_encoding.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace pimentopin {
namespace {

class UrlEncodingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UrlEncodingTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestInvalidEncodingIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against keys that change when they are encoded and decoded.
  void TestRoundTrip() {
    CPPUNIT_ASSERT(rc::check("decoding restores the encoded text", [](const std::string& text) {
      RC_ASSERT(PercentDecode(PercentEncode(text)) == text);
    }));
  }

  // Guards against accepting invalid percent-encoding.
  void TestInvalidEncodingIsRefused() {
    for (const std::string text : {"%", "%4", "%zz", "a%+1"}) {
      CPPUNIT_ASSERT(!PercentDecode(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrlEncodingTest);

}  // namespace
}  // namespace pimentopin

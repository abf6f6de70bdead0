#include "Libraries/LibPlatform/platform_encoding.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace pimentopin {
namespace {

class PlatformEncodingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformEncodingTest);
  CPPUNIT_TEST(TestRoundTrips);
  CPPUNIT_TEST(TestInvalidTextIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against keys or values that change on their way through the platform.
  void TestRoundTrips() {
    CPPUNIT_ASSERT(rc::check("keys and values survive", [](const std::string& text) {
      RC_ASSERT(DecodeUrlPart(EncodeUrlPart(text)) == text);
      RC_ASSERT(DecodeTableValue(EncodeTableValue(text)) == text);
    }));
  }

  // Guards against damaged text that is taken for a value.
  void TestInvalidTextIsRefused() {
    for (const std::string text : {"%", "%4", "%zz", "a%+1"}) {
      CPPUNIT_ASSERT(!DecodeUrlPart(text));
    }
    for (const std::string text : {"\xC3", "\xE2\x82\xAC", "\x80"}) {
      CPPUNIT_ASSERT(!DecodeTableValue(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformEncodingTest);

}  // namespace
}  // namespace pimentopin

#include "platform/bounds.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class PlatformBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformBoundsTest);
  CPPUNIT_TEST(TestKnownBoundsAreRead);
  CPPUNIT_TEST(TestBoundsOfTableAreNotIgnored);
  CPPUNIT_TEST(TestDeepValueOfUnknownBoundEndsTheProcess);
  CPPUNIT_TEST(TestRevocationTimeHoldsOnlyIfStrict);
  CPPUNIT_TEST(TestInvalidBoundsAreReported);
  CPPUNIT_TEST(TestTextOfAnotherFormIsNotIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a retry limit that fits one deployment only, and against refusing to start
  // because the platform added a bound.
  void TestKnownBoundsAreRead() {
    Findings findings;
    const auto bounds = platform::ReadPlatformBounds(
        "drain-s=2,new=a=b,new_name=3,p99.9=1,,grace-s=6,retry-budget-ratio=0.2,budget-extra=630,"
        "flag=,floor-share=0."
        "7",
        findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT(
        (bounds ==
         PlatformLimits{
             .retry_ratio = 0.2, .retry_extra = 630, .floor_share = 0.7, .shutdown_grace_s = 6}));
    CPPUNIT_ASSERT(platform::ReadPlatformBounds("", findings) == PlatformLimits{});
  }

  // Guards against a host of the platform that does not know when it is killed.
  void TestBoundsOfTableAreNotIgnored() {
    Findings findings;
    const auto bounds = platform::ReadPlatformBounds(
        R"({"drain-s":2,"new":[1,{"a":","}],"strict":true,"grace-s":6,"retry-budget-ratio":0.2,)"
        R"("budget-extra":630,"floor-share":"0.7"})",
        findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT(
        (bounds ==
         PlatformLimits{
             .retry_ratio = 0.2, .retry_extra = 630, .floor_share = 0.7, .shutdown_grace_s = 6}));
    CPPUNIT_ASSERT(platform::ReadPlatformBounds("{}", findings) == PlatformLimits{});
  }

  // Guards against a recursion that is as deep as a value that is ignored.
  void TestDeepValueOfUnknownBoundEndsTheProcess() {
    constexpr std::size_t kLevels = 200'000;
    Findings findings;
    const auto bounds = platform::ReadPlatformBounds(
        R"({"new":)" + std::string(kLevels, '[') + std::string(kLevels, ']') + R"(,"grace-s":6})",
        findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT(bounds == PlatformLimits{.shutdown_grace_s = 6});
  }

  // Guards against limits that are not in force because their text has another form.
  void TestTextOfAnotherFormIsNotIgnored() {
    for (const char* text : {"{\"grace-s\":6", "{\"grace-s\":6}x", "[\"grace-s=6\"]", "grace-s:6",
                             " {\"grace-s\":6}", "=6", "flag", "grace-s = 6"}) {
      Findings findings;
      platform::ReadPlatformBounds(text, findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, findings.all().size());
    }
  }

  // Guards against hosts that refuse keys without contact although nobody asks for it, and against
  // hosts that accept withdrawn keys without a limit.
  void TestRevocationTimeHoldsOnlyIfStrict() {
    Findings findings;
    const PlatformLimits strict{.key_revocation_s = 5};
    CPPUNIT_ASSERT(platform::ReadPlatformBounds("strict-revoke=true,revoke-s=5", findings) ==
                   strict);
    CPPUNIT_ASSERT(
        platform::ReadPlatformBounds(R"({"revoke-s":5,"strict-revoke":true})", findings) == strict);
    for (const char* text : {"revoke-s=5", "strict-revoke=false,revoke-s=5",
                             R"({"strict-revoke":false,"revoke-s":5})"}) {
      CPPUNIT_ASSERT(platform::ReadPlatformBounds(text, findings) == PlatformLimits{});
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
  }

  // Guards against a limit that is silently read as zero or as unlimited.
  void TestInvalidBoundsAreReported() {
    for (const char* text :
         {"budget-extra=", "budget-extra=-1", R"({"grace-s":[6]})", R"({"grace-s":{"s":6}})",
          "budget-extra", "floor-share=70", "retry-budget-ratio=nan", "retry-budget-ratio=0.2s",
          R"({"grace-s":"6 s"})", R"({"grace-s":null})", R"({"grace-s":true})",
          R"({"budget-extra":-1})", "strict-revoke=true", "strict-revoke=maybe,revoke-s=5",
          "strict-revoke=true,revoke-s=soon"}) {
      Findings findings;
      platform::ReadPlatformBounds(text, findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, findings.all().size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformBoundsTest);

}  // namespace
}  // namespace pimentopin

#include "Bench/Load/load_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(TestMisspeltFieldIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a check that passes because its load lacks what a misspelt field should add.
  void TestMisspeltFieldIsIgnored() {
    Findings findings;
    const auto plan = ReadLoadPlan(
        R"({"streams":[{"name":"a","service":"s","callers":["c"],"method":"POST","path":"/p",
            "rate_per_s":2,"size":9,"long":true,"documents":3,"keyed":true,"resend_share":0.3,
            "deadline_ms":70}]})",
        findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT((plan->streams == std::vector<LoadStream>{{.name = "a",
                                                              .service = "s",
                                                              .callers = {"c"},
                                                              .method = "POST",
                                                              .path = "/p",
                                                              .rate_per_s = 2,
                                                              .pattern_size = 9,
                                                              .is_long = true,
                                                              .distinct_paths = 3,
                                                              .sends_idempotency_key = true,
                                                              .duplicate_share = 0.3,
                                                              .deadline_ms = 70}}));
    CPPUNIT_ASSERT(!ReadLoadPlan(
        R"({"streams":[{"service":"s","callers":["c"],"rate_per_s":2,"resent_share":0.3}],
            "seed":1})",
        findings));
    CPPUNIT_ASSERT_EQUAL(
        std::string("/seed: unknown field\n/streams/0/resent_share: unknown field\n"),
        findings.ToText());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace
}  // namespace pimentopin

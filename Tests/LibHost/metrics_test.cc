#include "Libraries/LibHost/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentopin {
namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(TestCounterKeptElsewhereIsNotSummed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a counter that grows with each request for the metrics page.
  void TestCounterKeptElsewhereIsNotSummed() {
    Metrics metrics;
    metrics.SetCounter("pimentopin_log_lines_lost_total", "", 7);
    metrics.SetCounter("pimentopin_log_lines_lost_total", "", 9);
    CPPUNIT_ASSERT_EQUAL(std::string("# TYPE pimentopin_log_lines_lost_total counter\n"
                                     "pimentopin_log_lines_lost_total 9\n"),
                         metrics.ToText());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibReport/latency_histogram.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "Tests/property.h"

namespace pimentopin {
namespace {

class LatencyHistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyHistogramTest);
  CPPUNIT_TEST(TestEmpty);
  CPPUNIT_TEST(TestDurationsOutsideTheAxis);
  CPPUNIT_TEST(TestPercentileError);
  CPPUNIT_TEST(TestSumEqualsSingleHistogram);
  CPPUNIT_TEST(TestInvalidBucketCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEmpty() {
    CPPUNIT_ASSERT(!LatencyHistogram().Percentile(0.99));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, LatencyHistogram().count());
  }

  // Guards against durations outside the axis that are lost, and against zero and
  // negative ones that count as slow because their logarithm is not finite.
  void TestDurationsOutsideTheAxis() {
    LatencyHistogram fast;
    fast.Add(Duration(0));
    fast.Add(Duration(-5));
    fast.Add(Duration(99));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fast.count());
    CPPUNIT_ASSERT(fast.Percentile(1.0) == Duration(100));
    LatencyHistogram slow;
    slow.Add(std::chrono::hours(100));
    CPPUNIT_ASSERT(slow.Percentile(0.5) == std::chrono::seconds(10'000));
  }

  // Guards against a percentile that is too low, or too high by more than a bucket.
  void TestPercentileError() {
    CheckProperty("percentiles", 500, [] {
      const auto values = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(100, 100'000'000)));
      LatencyHistogram histogram;
      for (const std::int64_t value : values) {
        histogram.Add(Duration(value));
      }
      std::vector<std::int64_t> sorted = values;
      std::sort(sorted.begin(), sorted.end());
      for (const int percent : {50, 99, 100}) {
        const std::size_t rank = (sorted.size() * percent + 99) / 100;
        const auto exact = static_cast<double>(sorted[rank - 1]);
        const auto reported = static_cast<double>(histogram.Percentile(percent / 100.0)->count());
        RC_ASSERT(reported >= exact);
        RC_ASSERT(reported <= exact * 1.06 + 1);
      }
    });
  }

  // Guards against a sum of histograms that differs from one histogram of all
  // durations, and against buckets that are lost when a histogram is restored.
  void TestSumEqualsSingleHistogram() {
    CheckProperty("sums", 500, [] {
      const auto values = *rc::gen::container<std::vector<std::int64_t>>(
          rc::gen::inRange<std::int64_t>(0, 20'000'000'000));
      LatencyHistogram all;
      LatencyHistogram even;
      LatencyHistogram odd;
      for (const std::int64_t value : values) {
        all.Add(Duration(value));
        (value % 2 == 0 ? even : odd).Add(Duration(value));
      }
      even.Add(odd);
      RC_ASSERT(even.BucketCounts() == all.BucketCounts());
      RC_ASSERT(LatencyHistogram::FromBucketCounts(all.BucketCounts())->BucketCounts() ==
                all.BucketCounts());
      RC_ASSERT(all.count() == values.size());
    });
  }

  void TestInvalidBucketCounts() {
    CPPUNIT_ASSERT(!LatencyHistogram::FromBucketCounts({{LatencyHistogram::kBucketCount, 1}}));
    CPPUNIT_ASSERT(
        !LatencyHistogram::FromBucketCounts({{0, LatencyHistogram::kMaxBucketCount + 1}}));
    const auto largest = LatencyHistogram::FromBucketCounts(
        {{0, LatencyHistogram::kMaxBucketCount}, {5, LatencyHistogram::kMaxBucketCount}});
    CPPUNIT_ASSERT_EQUAL(2 * LatencyHistogram::kMaxBucketCount, largest->count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyHistogramTest);

}  // namespace
}  // namespace pimentopin

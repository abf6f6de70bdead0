#include "Libraries/LibDispatch/work_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;

class WorkEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkEstimateTest);
  CPPUNIT_TEST(TestKeyThatChangesItsCostKeepsItsOldEstimate);
  CPPUNIT_TEST(TestKeyWithFewSamplesIsTrusted);
  CPPUNIT_TEST(TestFloodOfKeysIsRemembered);
  CPPUNIT_TEST(TestLongRunningRequestIsExpectedToEndSoon);
  CPPUNIT_TEST(TestRequestLongerThanAllOthersIsExpectedToEndAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestKeyThatChangesItsCostKeepsItsOldEstimate() {
    this->Observe(this->cheap, milliseconds(100), 500);
    this->Observe(this->cheap, milliseconds(400), 600);
    this->ExpectMean(milliseconds(400), this->cheap, milliseconds(40));
  }

  void TestKeyWithFewSamplesIsTrusted() {
    this->Observe(this->cheap, milliseconds(100), 100);
    const WorkTraits rare{.kind = RequestKind{1}, .key = WorkKey{99}};
    this->Observe(rare, milliseconds(5000), 1);
    this->ExpectMean(this->estimate.Mean({.kind = RequestKind{1}}), rare, Duration(1));
    this->ExpectMean(this->estimate.Mean({}), {.kind = RequestKind{77}}, Duration(1));
  }

  void TestFloodOfKeysIsRemembered() {
    this->Observe(this->cheap, milliseconds(100), 100);
    for (std::uint64_t key = 1000; key < 10000; ++key) {
      this->Observe({.kind = RequestKind{key}, .key = WorkKey{key}}, milliseconds(300), 1);
      this->Observe(this->cheap, milliseconds(100), 1);
    }
    CPPUNIT_ASSERT_EQUAL(WorkEstimate::kMaxKeys, this->estimate.key_count());
    this->ExpectMean(milliseconds(100), this->cheap, milliseconds(1));
  }

  // 3 % of the requests take 1.4 s, the others 160 ms.
  void TestLongRunningRequestIsExpectedToEndSoon() {
    for (int index = 0; index < 1000; ++index) {
      this->Observe(this->cheap, milliseconds(index % 33 == 0 ? 1400 : 160), 1);
    }
    const Duration rest = this->estimate.Rest(this->cheap, milliseconds(400));
    CPPUNIT_ASSERT(rest > milliseconds(700));
    CPPUNIT_ASSERT(rest < milliseconds(1100));
    CPPUNIT_ASSERT(this->estimate.Rest(this->cheap, milliseconds(50)) < milliseconds(200));
  }

  void TestRequestLongerThanAllOthersIsExpectedToEndAtOnce() {
    this->Observe(this->cheap, milliseconds(100), 100);
    CPPUNIT_ASSERT(this->estimate.Rest(this->cheap, milliseconds(3000)) > milliseconds(1000));
  }

 private:
  void Observe(const WorkTraits& traits, Duration work, int times) {
    for (int count = 0; count < times; ++count) {
      this->estimate.Observe(traits, work);
    }
  }

  void ExpectMean(Duration expected, const WorkTraits& traits, Duration tolerance) {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(expected.count()),
                                 static_cast<double>(this->estimate.Mean(traits).count()),
                                 static_cast<double>(tolerance.count()));
  }

  WorkEstimate estimate;
  WorkTraits cheap{.kind = RequestKind{1}, .key = WorkKey{2}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkEstimateTest);

}  // namespace
}  // namespace pimentopin

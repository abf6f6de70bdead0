#include "Libraries/LibHost/host_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class HostSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostSettingsTest);
  CPPUNIT_TEST(TestAllErrorsAreReportedTogether);
  CPPUNIT_TEST(TestRetryLimitsStayBelowThePlatformLimits);
  CPPUNIT_TEST(TestValidSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting only the first error, which would take an operator one start
  // per error.
  void TestAllErrorsAreReportedTogether() {
    const Findings findings =
        this->Read({"--name", "Bad Name", "--domain", "zone-a", "--caller-address", "nope",
                    "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
                    "--platform-url", "ftp://127.0.0.1:1", "--traffic-threads", "0"});
    const std::vector<std::string> expected = {"--name", "--caller-address", "--platform-url",
                                               "--traffic-threads"};
    std::vector<std::string> places;
    for (const Finding& finding : findings.all()) {
      places.push_back(finding.place);
    }
    CPPUNIT_ASSERT(expected == places);
  }

  // Guards against using up the platform's limit, which counts in windows of its own.
  void TestRetryLimitsStayBelowThePlatformLimits() {
    HostSettings settings;
    ApplyRetryLimits(0.2, 630, settings);
    CPPUNIT_ASSERT(settings.retry_fraction > 0.15 && settings.retry_fraction < 0.2);
    CPPUNIT_ASSERT(settings.retry_extra > 500 && settings.retry_extra < 630);
  }

  void TestValidSettings() {
    const Findings findings =
        this->Read({"--name", "host-1", "--domain", "zone-a", "--caller-address", "127.0.0.1:0",
                    "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
                    "--platform-url", "http://127.0.0.1:1", "--retry-percent", "20",
                    "--configuration", "platform", "--max-held-body-bytes", "1000"});
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    const HostSettings settings = ReadHostSettings(*this->result.settings);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, settings.retry_fraction, 1e-9);
    CPPUNIT_ASSERT(settings.platform_configuration);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, settings.max_held_body_bytes);
    CPPUNIT_ASSERT(settings.shutdown_delay == std::chrono::seconds(5));
  }

 private:
  Findings Read(const std::vector<std::string>& arguments) {
    Findings findings;
    this->result = ReadSettings(
        {.name = "pimentopin", .version = "0"}, HostSettingDescriptions(), arguments,
        [](const std::string&) { return std::optional<std::string>(); }, findings);
    return findings;
  }

  SettingsResult result;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostSettingsTest);

}  // namespace
}  // namespace pimentopin

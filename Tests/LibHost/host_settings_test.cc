#include "Libraries/LibHost/host_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "Libraries/LibHost/limits_in_force.h"

namespace pimentopin {
namespace {

class HostSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostSettingsTest);
  CPPUNIT_TEST(TestAllErrorsAreReportedTogether);
  CPPUNIT_TEST(TestRetryLimitsStayBelowThePlatformLimits);
  CPPUNIT_TEST(TestLogHidesWhereLimitsComeFrom);
  CPPUNIT_TEST(TestPlatformWithoutLimitsEndsTheStart);
  CPPUNIT_TEST(TestLimitOfThePlatformThatIsMissingIsNoWarning);
  CPPUNIT_TEST(TestRevocationTimeThatCannotBeKeptIsAnError);
  CPPUNIT_TEST(TestValidSettings);
  CPPUNIT_TEST(TestHeldBytesExceedTheMemory);
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
    ApplyPlatformLimits({.retry_ratio = 0.2, .retry_extra = 630}, settings);
    CPPUNIT_ASSERT(settings.retry_fraction > 0.15 && settings.retry_fraction < 0.2);
    CPPUNIT_ASSERT(settings.retry_extra > 500 && settings.retry_extra < 630);
  }

  // Guards against a host whose log does not tell that the platform's limits did not reach it.
  void TestLogHidesWhereLimitsComeFrom() {
    HostSettings settings{.retry_fraction = 0.15, .retry_extra = 40, .floor_share = 0.5};
    const nlohmann::json before = LimitsInForce(settings);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, before["grace_ms"].get<std::int64_t>());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), before["grace_source"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("flag"), before["retry_fraction_source"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("flag"), before["retry_extra_source"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("flag"), before["floor_source"].get<std::string>());

    ApplyPlatformLimits({.retry_ratio = 0.2, .floor_share = 0.7, .shutdown_grace_s = 2.5},
                        settings);
    const nlohmann::json after = LimitsInForce(settings);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2500}, after["grace_ms"].get<std::int64_t>());
    CPPUNIT_ASSERT_EQUAL(std::string("platform"), after["grace_source"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("platform"),
                         after["retry_fraction_source"].get<std::string>());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.19, after["retry_fraction"].get<double>(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::string("flag"), after["retry_extra_source"].get<std::string>());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, after["retry_extra"].get<double>(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::string("platform"), after["floor_source"].get<std::string>());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7, after["floor_share"].get<double>(), 1e-9);
  }

  // Guards against a promise on withdrawn keys that the host does not keep, or keeps by refusing
  // all of them.
  void TestRevocationTimeThatCannotBeKeptIsAnError() {
    const auto findings_of = [](Duration time, bool platform_configuration) {
      Findings findings;
      CheckLimits({.key_revocation_time = time, .platform_configuration = platform_configuration},
                  findings);
      return findings.all().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, findings_of({}, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, findings_of(std::chrono::seconds(5), true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings_of(std::chrono::seconds(5), false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings_of(std::chrono::milliseconds(300), true));
    HostSettings settings;
    ApplyPlatformLimits({.key_revocation_s = 2.5}, settings);
    CPPUNIT_ASSERT(settings.key_revocation_time == std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("platform"),
                         LimitsInForce(settings)["key_revocation_source"].get<std::string>());
  }

  // Guards against a fleet that does not start on a platform that states no limits.
  void TestPlatformWithoutLimitsEndsTheStart() {
    const Findings findings =
        this->Read({"--name", "host-1", "--domain", "zone-a", "--caller-address", "127.0.0.1:0",
                    "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
                    "--platform-url", "http://127.0.0.1:1", "--platform-bounds="});
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT_EQUAL(std::string(), ReadHostSettings(*this->result.settings).platform_bounds);
  }

  // Guards against a host of the platform on which one limit of the platform is not in force, as
  // half of the retry limits, and whose log has no warning.
  void TestLimitOfThePlatformThatIsMissingIsNoWarning() {
    const PlatformLimits all{
        .retry_ratio = 0.2, .retry_extra = 56, .floor_share = 0.7, .shutdown_grace_s = 6};
    const auto is_complete = [](const PlatformLimits& limits, bool platform_configuration) {
      HostSettings settings{.platform_configuration = platform_configuration};
      ApplyPlatformLimits(limits, settings);
      return HasAllPlatformLimits(settings);
    };
    CPPUNIT_ASSERT(is_complete(all, true));
    for (std::optional<double> PlatformLimits::*limit :
         {&PlatformLimits::retry_ratio, &PlatformLimits::retry_extra, &PlatformLimits::floor_share,
          &PlatformLimits::shutdown_grace_s}) {
      PlatformLimits incomplete = all;
      incomplete.*limit = std::nullopt;
      CPPUNIT_ASSERT(!is_complete(incomplete, true));
      CPPUNIT_ASSERT(is_complete(incomplete, false));
    }
  }

  void TestValidSettings() {
    const Findings findings = this->Read({"--name",
                                          "host-1",
                                          "--domain",
                                          "zone-a",
                                          "--caller-address",
                                          "127.0.0.1:0",
                                          "--operator-address",
                                          "127.0.0.1:0",
                                          "--peer-address",
                                          "127.0.0.1:0",
                                          "--platform-url",
                                          "http://127.0.0.1:1",
                                          "--retry-percent",
                                          "20",
                                          "--configuration",
                                          "platform",
                                          "--max-held-body-bytes",
                                          "1000",
                                          "--placement",
                                          "expected-completion"});
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    const HostSettings settings = ReadHostSettings(*this->result.settings);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, settings.retry_fraction, 1e-9);
    CPPUNIT_ASSERT(settings.platform_configuration);
    CPPUNIT_ASSERT(settings.placement == Placement::kExpectedCompletion);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, settings.max_held_body_bytes);
    CPPUNIT_ASSERT(settings.shutdown_delay == std::chrono::seconds(5));
  }

  // Guards against a host on a small machine that is ended because it holds too many bytes.
  void TestHeldBytesExceedTheMemory() {
    const Findings findings =
        this->Read({"--name", "host-1", "--domain", "zone-a", "--caller-address", "127.0.0.1:0",
                    "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
                    "--platform-url", "http://127.0.0.1:1", "--memory-mb", "160"});
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    const HostSettings settings = ReadHostSettings(*this->result.settings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{80} << 20, settings.max_held_body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20} << 20, settings.max_held_response_bytes);
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

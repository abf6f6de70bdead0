#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "Libraries/LibConfig/configuration_reader.h"

namespace pimentopin {
namespace {

class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(TestConsortium);
  CPPUNIT_TEST(TestCaribstone);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an example that the reader rejects or that differs from the deployment, and
  // against operations that must be executed at most once being marked as idempotent.
  void TestConsortium() {
    const Configuration configuration = Read("consortium.json");
    AssertTargets(configuration, {{"parts", 6}, {"booking", 9}, {"manuals", 11}}, 3);
    const Caller& desk = *configuration.FindCaller("wheels-front-desk");
    const Caller& technician = *configuration.FindCaller("kumasi-lifts-bench");
    const Service& parts = *configuration.FindService("parts");
    const Service& booking = *configuration.FindService("booking");
    const Service& manuals = *configuration.FindService("manuals");
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, configuration.AllowedTargets(desk, booking).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, configuration.AllowedTargets(technician, booking).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, configuration.AllowedTargets(technician, manuals).size());
    for (const char* path : {"/bookings", "/bookings/17/confirm", "/deposits"}) {
      CPPUNIT_ASSERT(!configuration.RequestTraitsFor(desk, booking, "POST", path).idempotent);
    }
    CPPUNIT_ASSERT(
        configuration.RequestTraitsFor(desk, booking, "POST", "/availability").idempotent);
    CPPUNIT_ASSERT(
        !configuration.RequestTraitsFor(desk, booking, "DELETE", "/bookings/17").idempotent);
    CPPUNIT_ASSERT(
        configuration.RequestTraitsFor(desk, manuals, "GET", "/diagrams/large/7").is_long);
    CPPUNIT_ASSERT(!configuration.RequestTraitsFor(desk, manuals, "GET", "/diagrams/7").is_long);
    CPPUNIT_ASSERT(!configuration.RequestTraitsFor(desk, parts, "GET", "/lookups/axle").is_long);
  }

  void TestCaribstone() {
    const Configuration configuration = Read("caribstone.json");
    AssertTargets(configuration, {{"scorecards", 6}, {"corrective-actions", 11}, {"evidence", 8}},
                  2);
    const Caller& auditor = *configuration.FindCaller("harbour-inspection-field");
    const Caller& buyer = *configuration.FindCaller("atlantic-outfitters-portal");
    const Service& scorecards = *configuration.FindService("scorecards");
    const Service& actions = *configuration.FindService("corrective-actions");
    const Service& evidence = *configuration.FindService("evidence");
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, configuration.AllowedTargets(buyer, scorecards).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, configuration.AllowedTargets(buyer, evidence).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, configuration.AllowedTargets(auditor, evidence).size());
    CPPUNIT_ASSERT(
        !configuration.RequestTraitsFor(auditor, actions, "POST", "/closures/9").idempotent);
    CPPUNIT_ASSERT(configuration.RequestTraitsFor(auditor, evidence, "GET", "/packs/9").is_long);
    CPPUNIT_ASSERT(
        configuration.RequestTraitsFor(buyer, scorecards, "GET", "/archive/2025").is_long);
    CPPUNIT_ASSERT(configuration.RequestTraitsFor(buyer, scorecards, "GET", "/mill-4").affinity);
    CPPUNIT_ASSERT(!configuration.RequestTraitsFor(buyer, scorecards, "GET", "/mill-4").is_long);
  }

 private:
  static Configuration Read(const std::string& name) {
    std::ifstream file(std::string(PIMENTOPIN_EXAMPLES) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    Findings findings;
    const auto configuration = ReadConfiguration(text.str(), 1, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    return *configuration;
  }

  static void AssertTargets(const Configuration& configuration,
                            const std::vector<std::pair<std::string, std::size_t>>& services,
                            std::uint32_t slots) {
    CPPUNIT_ASSERT_EQUAL(services.size(), configuration.services.size());
    for (const auto& [service, count] : services) {
      const auto targets = configuration.TargetsOf(service);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(service, count, targets.size());
      for (const Target* target : targets) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(target->name, slots, target->slots);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(target->name, std::uint32_t{300}, target->connections);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace
}  // namespace pimentopin

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <iostream>
#include <string>

#include "Tests/LibMembership/thin_link_fleet.h"

namespace pimentopin {
namespace {

constexpr std::uint64_t kFirstSeed = 1000;
constexpr std::uint64_t kSeeds = 5;
constexpr std::size_t kLargeHostsPerDomain = 2;
constexpr std::size_t kRoutes = 1400;
// Time within which the users' platform requires a change on every host (config-apply-s of
// their largest deployments).
constexpr Duration kAdoptionLimit = std::chrono::milliseconds(2500);

std::string RandomName(RandomSource& random) {
  std::string name;
  for (int index = 0; index < 7; ++index) {
    name.push_back(static_cast<char>('a' + random.Below(26)));
  }
  return name;
}

// A document of the platform's operator with many routes, about 280 KB.
std::string DocumentWithManyRoutes(RandomSource& random) {
  std::string routes;
  for (std::size_t index = 0; index < kRoutes; ++index) {
    routes += fmt::format(
        R"({{"type":"routes","metadata":{{"name":"r-{}"}},"spec":{{"host":"{}.example",)"
        R"("prefix":"/{}/","kind":"safe","timeout-s":2,"target-latency-s":1.2,"priority":2,)"
        R"("service":"{}","max-attempts":2}}}},)",
        RandomName(random), RandomName(random), RandomName(random), RandomName(random));
  }
  routes.pop_back();
  return R"({"version":"00000002","resources":[)" + routes + "]}";
}

// Simulates domains of about 45 hosts with links of 10 Mbit/s.
class ThinLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThinLinkTest);
  CPPUNIT_TEST(TestLargeDocumentReachesHostsOfUnequalSizeInTime);
  CPPUNIT_TEST(TestLargeDocumentReachesThinHostsInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host with a thin link that sends a large document to every other host of its
  // domain although the domain has hosts with larger links.
  void TestLargeDocumentReachesHostsOfUnequalSizeInTime() {
    ExpectAdoptionInTime(kLargeHostsPerDomain);
  }

  // Guards against documents that fill the link of their sender where all links are thin.
  void TestLargeDocumentReachesThinHostsInTime() { ExpectAdoptionInTime(0); }

 private:
  static void ExpectAdoptionInTime(std::size_t large_hosts_per_domain) {
    Duration worst{};
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      SimulatedFleet fleet(seed);
      StartThinLinkFleet(fleet, large_hosts_per_domain);
      fleet.document_content = DocumentWithManyRoutes(fleet.random);
      fleet.CommitToStore(2);
      const auto time =
          fleet.RunUntil([&] { return fleet.AdoptedEverywhere(2); }, std::chrono::seconds(60));
      CPPUNIT_ASSERT_MESSAGE("not adopted everywhere within 60 s", time);
      worst = std::max(worst, *time);
    }
    std::cout << kThinLinkHosts << " hosts, " << large_hosts_per_domain
              << " large ones in each domain, seeds " << kFirstSeed << " to "
              << kFirstSeed + kSeeds - 1 << ": worst time until adopted everywhere "
              << static_cast<double>(worst.count()) / 1e6 << " s\n";
    CPPUNIT_ASSERT(worst <= kAdoptionLimit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThinLinkTest);

}  // namespace
}  // namespace pimentopin

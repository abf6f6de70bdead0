#include "Libraries/LibDispatch/service_cells.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace pimentopin {
namespace {

constexpr ServiceId kService{7};

// `per_domain` lists the number of targets in each failure domain.
std::vector<DispatchService> ServiceWith(const std::vector<std::size_t>& per_domain) {
  DispatchService service{.service = kService, .floor_slots = 100};
  std::uint64_t target = 0;
  for (std::size_t domain = 0; domain < per_domain.size(); ++domain) {
    for (std::size_t index = 0; index < per_domain[domain]; ++index) {
      service.targets.push_back(
          {.target = TargetId{++target}, .domain = DomainId{domain + 1}, .slots = 4});
    }
  }
  return {service};
}

class ServiceCellsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceCellsTest);
  CPPUNIT_TEST(TestTargetBelongsToNoOrSeveralCells);
  CPPUNIT_TEST(TestSmallServiceIsDivided);
  CPPUNIT_TEST(TestServiceWithASmallDomainIsDivided);
  CPPUNIT_TEST(TestDivisionChangesWithEachTarget);
  CPPUNIT_TEST(TestCellsRetryMoreThanTheServiceMay);
  CPPUNIT_TEST(TestBrokerOfACellIsInAnotherDomain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTargetBelongsToNoOrSeveralCells() {
    ServiceDivision division(50);
    std::vector<DispatchService> services = ServiceWith({20, 31});
    division.Divide(services);
    std::multiset<TargetId> targets;
    std::uint32_t floor_slots = 0;
    for (const ServiceCell& cell : services[0].cells) {
      floor_slots += cell.floor_slots;
      for (const DispatchService::Target& target : CellAsService(services[0], cell).targets) {
        targets.insert(target.target);
        CPPUNIT_ASSERT(division.PlaceOf(kService, target.target) == cell.id);
      }
      CPPUNIT_ASSERT(division.WholeOf(cell.id) == kService);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{51}, targets.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{51}, std::set(targets.begin(), targets.end()).size());
    CPPUNIT_ASSERT(floor_slots >= 100 && floor_slots <= 102);
  }

  void TestSmallServiceIsDivided() {
    CPPUNIT_ASSERT(!Divides(50, {24, 25}));
    CPPUNIT_ASSERT(!Divides(0, {100, 100}));
    CPPUNIT_ASSERT(!Divides(50, {100}));
  }

  void TestServiceWithASmallDomainIsDivided() {
    CPPUNIT_ASSERT(!Divides(50, {60, 15}));
    CPPUNIT_ASSERT(Divides(50, {60, 16}));
  }

  // Guards against a change of all brokers whenever a few targets come or go.
  void TestDivisionChangesWithEachTarget() {
    ServiceDivision division(50);
    const auto divides = [&division](const std::vector<std::size_t>& per_domain) {
      std::vector<DispatchService> services = ServiceWith(per_domain);
      division.Divide(services);
      return !services[0].cells.empty();
    };
    CPPUNIT_ASSERT(divides({25, 25}));
    CPPUNIT_ASSERT(divides({25, 15}));
    CPPUNIT_ASSERT(!divides({25, 14}));
    CPPUNIT_ASSERT(!divides({25, 24}));
  }

  // Guards against a fleet that exceeds its limit of retries once for each cell.
  void TestCellsRetryMoreThanTheServiceMay() {
    const RetryLimits share = ShareOf({.fraction = 0.1, .extra = 40, .minimum_per_second = 3}, 4);
    CPPUNIT_ASSERT(share.fraction == 0.1);
    CPPUNIT_ASSERT(share.extra * 4 <= 40);
    CPPUNIT_ASSERT(share.minimum_per_second * 4 <= 3);
  }

  void TestBrokerOfACellIsInAnotherDomain() {
    ServiceDivision division(50);
    std::vector<DispatchService> services = ServiceWith({25, 25});
    division.Divide(services);
    std::vector<HostId> hosts;
    for (std::uint64_t host = 1; host <= 8; ++host) {
      hosts.push_back(HostId{host});
    }
    const auto is_in = [](HostId host, DomainId domain) {
      return RawId(host) % 2 + 1 == RawId(domain);
    };
    for (const ServiceCell& cell : services[0].cells) {
      const std::vector<HostId> ranked = division.RankBrokers(cell.id, hosts, is_in);
      CPPUNIT_ASSERT_EQUAL(hosts.size(), ranked.size());
      CPPUNIT_ASSERT(is_in(ranked[0], cell.domain) && is_in(ranked[1], cell.domain));
    }
    const auto nowhere = [](HostId /*host*/, DomainId /*domain*/) { return false; };
    CPPUNIT_ASSERT_EQUAL(hosts.size(),
                         division.RankBrokers(services[0].cells[0].id, hosts, nowhere).size());
  }

 private:
  static bool Divides(std::size_t threshold, const std::vector<std::size_t>& per_domain) {
    ServiceDivision division(threshold);
    std::vector<DispatchService> services = ServiceWith(per_domain);
    division.Divide(services);
    return !services[0].cells.empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceCellsTest);

}  // namespace
}  // namespace pimentopin

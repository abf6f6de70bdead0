#include "Tests/LibMembership/thin_link_fleet.h"

#include <cppunit/TestAssert.h>

#include <memory>
#include <string>

namespace pimentopin {
namespace {

constexpr std::uint32_t kLargeCapacity = 500;
constexpr std::uint32_t kSmallCapacity = 100;
constexpr double kLargeLinkBytesPerSecond = 200e6 / 8;
constexpr double kThinLinkBytesPerSecond = 10e6 / 8;

bool EveryHostKnowsAll(SimulatedFleet& fleet) {
  for (const HostId host : fleet.RunningHosts()) {
    if (fleet.GetHost(host).directory.UsableHosts().size() != kThinLinkHosts) {
      return false;
    }
  }
  return true;
}

}  // namespace

void StartThinLinkFleet(SimulatedFleet& fleet, std::size_t large_hosts_per_domain) {
  const auto large = std::make_shared<std::set<HostId>>();
  std::map<std::uint64_t, std::size_t> large_hosts;
  fleet.capacity_of = [&large_hosts, large, large_hosts_per_domain](const std::string& name) {
    std::size_t& count = large_hosts[SimulatedFleet::DomainOf(name)];
    if (count >= large_hosts_per_domain) {
      return kSmallCapacity;
    }
    ++count;
    large->insert(IdFromName<HostId>(name));
    return kLargeCapacity;
  };
  fleet.StartHosts(kThinLinkHosts);
  fleet.capacity_of = [](const std::string& /*name*/) { return kSmallCapacity; };
  fleet.CommitToStore(1);
  CPPUNIT_ASSERT(
      fleet.RunUntil([&] { return fleet.AdoptedEverywhere(1) && EveryHostKnowsAll(fleet); },
                     std::chrono::seconds(20)));
  fleet.link_bytes_per_second = [large](HostId host) {
    return large->contains(host) ? kLargeLinkBytesPerSecond : kThinLinkBytesPerSecond;
  };
}

}  // namespace pimentopin

#include "Libraries/LibCore/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pimentopin {
namespace {

class RendezvousTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RendezvousTest);
  CPPUNIT_TEST(TestOrderDoesNotDependOnInputOrder);
  CPPUNIT_TEST(TestRemovalReassignsOnlyKeysOfRemovedHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against hosts that know the same members, but compute different owners.
  void TestOrderDoesNotDependOnInputOrder() {
    std::vector<HostId> hosts = Hosts(32);
    const auto expected = RendezvousRank(7, hosts);
    std::reverse(hosts.begin(), hosts.end());
    CPPUNIT_ASSERT(expected == RendezvousRank(7, hosts));
  }

  // Guards against keys of the remaining hosts that change owner when a host leaves.
  void TestRemovalReassignsOnlyKeysOfRemovedHost() {
    const std::vector<HostId> hosts = Hosts(32);
    const HostId removed = hosts[5];
    std::vector<HostId> remaining = hosts;
    std::erase(remaining, removed);
    for (std::uint64_t key = 0; key < 500; ++key) {
      const HostId before = RendezvousRank(key, hosts).front();
      const HostId after = RendezvousRank(key, remaining).front();
      CPPUNIT_ASSERT(before == removed || before == after);
    }
  }

 private:
  static std::vector<HostId> Hosts(int count) {
    std::vector<HostId> hosts;
    for (int index = 0; index < count; ++index) {
      hosts.push_back(IdFromName<HostId>("host-" + std::to_string(index)));
    }
    return hosts;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

}  // namespace
}  // namespace pimentopin

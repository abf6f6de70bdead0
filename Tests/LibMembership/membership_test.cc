#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/leaving_targets.h"
#include "Libraries/LibMembership/store_relay.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetId kTarget{5};
constexpr char kTable[] = "targets";
constexpr HostId kPeer{2};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TestExchangedNoticeExpires);
  CPPUNIT_TEST(TestStartupWindowAdoptsHighestRevision);
  CPPUNIT_TEST(TestFirstListingIsNotRelayed);
  CPPUNIT_TEST(TestRemovalIsLostIfListingCrossesPeerTable);
  CPPUNIT_TEST(TestRemovedRowReturnsWithAnOlderRead);
  CPPUNIT_TEST(TestLostDocumentIsRequestedFromAnotherHost);
  CPPUNIT_TEST(TestOneCopyOfDocumentIsRequestedAtOnce);
  CPPUNIT_TEST(TestNewerRevisionIsRequestedAfterDocument);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against notices that never expire because hosts keep sending them to
  // each other.
  void TestExchangedNoticeExpires() {
    LeavingTargets first;
    LeavingTargets second;
    TimePoint now{};
    CPPUNIT_ASSERT(first.MarkLeaving(now, kTarget));
    CPPUNIT_ASSERT(!first.MarkLeaving(now, kTarget));
    for (int round = 0; round < 2500; ++round) {
      const auto sent = first.Notices(now, 8);
      now += milliseconds(250);
      second.Merge(now, sent);
      first.Merge(now, second.Notices(now, 8));
      first.Tick(now);
      second.Tick(now);
    }
    CPPUNIT_ASSERT(!first.IsLeaving(kTarget));
    CPPUNIT_ASSERT(!second.IsLeaving(kTarget));
  }

  // Guards against a starting host that adopts the outdated document of one peer
  // although another peer sends a newer one within the same second.
  void TestStartupWindowAdoptsHighestRevision() {
    ConfigurationTracker tracker(HostId{1}, DomainId{1});
    const TimePoint start{};
    tracker.OnDocument(start + milliseconds(100), {.revision = 5}, DocumentSource::kPeer);
    tracker.OnDocument(start + milliseconds(200), {.revision = 7}, DocumentSource::kPeer);
    tracker.OnDocument(start + milliseconds(300), {.revision = 6}, DocumentSource::kPeer);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, tracker.revision());
    CPPUNIT_ASSERT(tracker.next_deadline() == start + milliseconds(1100));
    const auto actions = tracker.Tick(start + milliseconds(1100));
    const ConfigurationAction adopt = AdoptConfiguration{{.revision = 7}};
    CPPUNIT_ASSERT(std::find(actions.begin(), actions.end(), adopt) != actions.end());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, tracker.revision());
  }

  // Guards against a host that keeps its old configuration until the next digest, seconds later,
  // because one request or document was lost.
  void TestLostDocumentIsRequestedFromAnotherHost() {
    ConfigurationTracker tracker(HostId{1}, DomainId{1});
    tracker.OnDocument(TimePoint(), {.revision = 1}, DocumentSource::kStore);
    const TimePoint start(seconds(100));
    const ConfigurationAction first = SendToHost{HostId{2}, ConfigurationRequest{1}};
    const ConfigurationAction second = SendToHost{HostId{3}, ConfigurationRequest{1}};
    CPPUNIT_ASSERT(tracker.OnRevisionSeen(start, HostId{2}, 5) == std::vector{first});
    CPPUNIT_ASSERT(tracker.OnRevisionSeen(start + milliseconds(10), HostId{3}, 5).empty());
    const auto due = tracker.next_deadline();
    CPPUNIT_ASSERT(due && *due <= start + milliseconds(1000));
    CPPUNIT_ASSERT(tracker.Tick(*due) == std::vector{second});
    tracker.OnDocument(*due + milliseconds(50), {.revision = 5}, DocumentSource::kPeer);
    CPPUNIT_ASSERT(!tracker.next_deadline());
  }

  // Guards against a host that stays at a revision although it knows a host with a newer one, after
  // changes in quick succession.
  void TestNewerRevisionIsRequestedAfterDocument() {
    ConfigurationTracker tracker(HostId{1}, DomainId{1});
    tracker.OnDocument(TimePoint(), {.revision = 1}, DocumentSource::kStore);
    const TimePoint start(seconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.OnRevisionSeen(start, HostId{2}, 5).size());
    CPPUNIT_ASSERT(tracker.OnRevisionSeen(start + milliseconds(10), HostId{3}, 7).empty());
    const auto actions =
        tracker.OnDocument(start + milliseconds(20), {.revision = 5}, DocumentSource::kPeer);
    const ConfigurationAction request = SendToHost{HostId{3}, ConfigurationRequest{5}};
    CPPUNIT_ASSERT(std::find(actions.begin(), actions.end(), request) != actions.end());
  }

  // Guards against a starting host that receives a copy of the document from every host that offers
  // it, which fills its link.
  void TestOneCopyOfDocumentIsRequestedAtOnce() {
    ConfigurationTracker tracker(HostId{1}, DomainId{1});
    std::size_t requests = 0;
    for (std::uint64_t host = 2; host < 46; ++host) {
      requests += tracker.OnRevisionSeen(TimePoint(seconds(100)), HostId{host}, 5).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests);
  }

  // Guards against hosts that start at the same time, such as after a power loss,
  // and send the whole table to each other: 45 hosts with 57 KB each saturated
  // 10 Mbit/s links for two seconds.
  void TestFirstListingIsNotRelayed() {
    StoreRelay relay(
        HostId{1}, "127.0.0.1:1",
        {{.name = kTable,
          .polled = true,
          .is_relevant_change = [](const std::string& before,
                                   const std::string& after) { return before != after; }}},
        true);
    relay.SetHosts(DomainId{1}, {{DomainId{1}, {HostId{1}, HostId{2}, HostId{3}}}});
    const TimePoint start(seconds(100));
    const auto count_relays = [](const std::vector<RelayAction>& actions) {
      return std::count_if(actions.begin(), actions.end(), [](const RelayAction& action) {
        const auto* const send = std::get_if<SendToHost>(&action);
        return send != nullptr && std::holds_alternative<RowRelay>(send->message);
      });
    };
    const FeedBatch listing{.rows = {{.key = "a", .version = 1, .value = "1"}}, .version = 1};
    const auto first = relay.OnRows(start, kTable, listing, {});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count_relays(first));
    CPPUNIT_ASSERT(std::holds_alternative<RowsChanged>(first.at(0)));
    relay.Tick(start);
    const FeedBatch change{.rows = {{.key = "a", .version = 2, .value = "2"}}, .version = 2};
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         count_relays(relay.OnRows(start + seconds(1), kTable, change, {})));
  }

  // Guards against a restarted reader that keeps a removed target because a peer's older table
  // arrived between the start and the end of its listing.
  void TestRemovalIsLostIfListingCrossesPeerTable() {
    StoreRelay relay = MakeRelay();
    const TimePoint start(seconds(100));
    const std::vector<RelayAction> reads = relay.Tick(start);
    CPPUNIT_ASSERT(Contains(reads, RelayAction(ListTable{kTable})));
    const RowRelay peer_table{.table = kTable,
                              .base_version = 0,
                              .version = 2,
                              .rows = {{.key = "gone", .version = 1, .value = "1"},
                                       {.key = "kept", .version = 2, .value = "1"}}};
    relay.OnRelay(start + milliseconds(1), kPeer, peer_table);
    const FeedBatch listing{.rows = {{.key = "kept", .version = 2, .value = "1"}}, .version = 3};
    const FeedRow removal{.key = "gone", .version = 3, .removed = true};
    const std::vector<RelayAction> actions =
        relay.OnRows(start + milliseconds(4), kTable, listing, {});
    CPPUNIT_ASSERT(Contains(actions, RelayAction(RowsChanged{kTable, {removal}})));
    CPPUNIT_ASSERT(relay.RowVersion(kTable, "gone").is_zero());
  }

  // Guards against a removed target that returns because a read that started before the removal
  // ends after a peer has relayed it.
  void TestRemovedRowReturnsWithAnOlderRead() {
    StoreRelay relay = MakeRelay();
    const TimePoint start(seconds(100));
    const FeedBatch listing{.rows = {{.key = "kept", .version = 1, .value = "1"}}, .version = 1};
    relay.Tick(start);
    relay.OnRows(start, kTable, listing, {});
    relay.Tick(start + seconds(1));
    const RowRelay relayed{.table = kTable,
                           .base_version = 1,
                           .version = 3,
                           .rows = {{.key = "kept", .version = 3, .value = "2"},
                                    {.key = "gone", .version = 3, .value = "", .removed = true}}};
    relay.OnRelay(start + seconds(1), kPeer, relayed);
    const FeedBatch read{.rows = {{.key = "gone", .version = 2, .value = "1"}}, .version = 2};
    const std::vector<RelayAction> actions =
        relay.OnRows(start + seconds(1) + milliseconds(4), kTable, read, {});
    CPPUNIT_ASSERT(std::none_of(actions.begin(), actions.end(), [](const RelayAction& action) {
      return std::holds_alternative<RowsChanged>(action);
    }));
    CPPUNIT_ASSERT(relay.RowVersion(kTable, "gone").is_zero());
  }

 private:
  // A reader of a failure domain of two hosts with one table.
  static StoreRelay MakeRelay() {
    StoreRelay relay(
        HostId{1}, "127.0.0.1:1",
        {{.name = kTable,
          .polled = true,
          .defers_removals = true,
          .is_relevant_change = [](const std::string& before,
                                   const std::string& after) { return before != after; }}},
        true);
    relay.SetHosts(DomainId{1}, {{DomainId{1}, {HostId{1}, kPeer}}});
    return relay;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibHost/configuration_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <memory>
#include <set>

#include "Tests/LibHost/fake_platform.h"

namespace pimentopin {
namespace {

constexpr std::uint64_t kSeeds = 300;

// A platform on which several hosts can create stores.
struct FakePlatform {
  explicit FakePlatform(std::uint64_t seed)
      : random(seed), queue(random), table(queue, random), objects(queue) {}

  ConfigurationStore NewStore() {
    return {this->table, this->objects,
            [this](std::function<void()> task) { this->queue.Post(std::move(task)); }};
  }

  RandomSource random;
  FakeEventQueue queue;
  FakeTable table;
  FakeObjects objects;
};

ConfigurationDocument MakeChange(std::uint64_t base, const std::string& change_id) {
  return {
      .base_revision = base, .change_id = change_id, .author = "ama", .content = "of " + change_id};
}

class ConfigurationStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(TestConcurrentCommitsHaveOneWinner);
  CPPUNIT_TEST(TestResultMatchesTableUnderFaults);
  CPPUNIT_TEST(TestSameChangeIdCommitsOnce);
  CPPUNIT_TEST(TestReusedChangeIdIsRefused);
  CPPUNIT_TEST(TestMissingBaseIsRefused);
  CPPUNIT_TEST(TestLaggingReaderGetsNewestRevision);
  CPPUNIT_TEST(TestObjectStoreOutageWritesNoRow);
  CPPUNIT_TEST(TestFailedCommitStatesLastError);
  CPPUNIT_TEST(TestFailedReadBackStatesLastError);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting two concurrent changes as committed under the same revision.
  void TestConcurrentCommitsHaveOneWinner() {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      FakePlatform platform(seed);
      ConfigurationStore first = platform.NewStore();
      ConfigurationStore second = platform.NewStore();
      std::vector<CommitResult> results;
      const auto collect = [&](const CommitResult& result) { results.push_back(result); };
      first.Commit(MakeChange(0, "a"), collect);
      second.Commit(MakeChange(0, "b"), collect);
      platform.queue.RunAll();
      std::multiset<CommitStatus> statuses;
      for (const CommitResult& result : results) {
        statuses.insert(result.status);
        CPPUNIT_ASSERT(result.document.has_value());
        CPPUNIT_ASSERT_EQUAL(platform.table.rows["configuration/revisions/1"].value,
                             result.document->change_id);
      }
      CPPUNIT_ASSERT((statuses == std::multiset<CommitStatus>{CommitStatus::kCommitted,
                                                              CommitStatus::kConflict}));
    }
  }

  // Guards against reporting success without the row, reporting "not committed" although
  // the row exists, and replacing a committed row.
  void TestResultMatchesTableUnderFaults() {
    std::map<CommitStatus, int> counts;
    for (std::uint64_t seed = 0; seed < 10 * kSeeds; ++seed) {
      FakePlatform platform(seed);
      platform.table.rates = {
          .read_failure = 0.3, .write_failure = 0.3, .response_lost = 0.2, .late_apply = 0.15};
      ConfigurationStore first = platform.NewStore();
      ConfigurationStore second = platform.NewStore();
      std::map<std::string, CommitResult> results;
      first.Commit(MakeChange(0, "a"), [&](const CommitResult& result) { results["a"] = result; });
      second.Commit(MakeChange(0, "b"), [&](const CommitResult& result) { results["b"] = result; });
      platform.queue.RunAll();
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
      const auto& values = platform.table.history["configuration/revisions/1"];
      CPPUNIT_ASSERT(values.size() <= 1);
      const std::string committed = values.empty() ? "" : values.front();
      for (const auto& [change, result] : results) {
        ++counts[result.status];
        const std::string context = "seed " + std::to_string(seed) + " change " + change;
        if (result.status == CommitStatus::kCommitted) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(context, change, committed);
        } else if (result.status != CommitStatus::kUnknown) {
          CPPUNIT_ASSERT_MESSAGE(context, change != committed);
        }
      }
    }
    for (const CommitStatus status : {CommitStatus::kCommitted, CommitStatus::kConflict,
                                      CommitStatus::kNotCommitted, CommitStatus::kUnknown}) {
      CPPUNIT_ASSERT_MESSAGE("a status never occurred; the faults do not cover it",
                             counts[status] > 0);
    }
  }

  // Guards against a second revision when an operator retries a commit whose response was
  // lost.
  void TestSameChangeIdCommitsOnce() {
    FakePlatform platform(1);
    ConfigurationStore store = platform.NewStore();
    std::vector<CommitResult> results;
    for (int call = 0; call < 2; ++call) {
      store.Commit(MakeChange(0, "a"),
                   [&](const CommitResult& result) { results.push_back(result); });
      platform.queue.RunAll();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
    CPPUNIT_ASSERT(results[0].status == CommitStatus::kCommitted);
    CPPUNIT_ASSERT(results[0] == results[1]);
    CPPUNIT_ASSERT(platform.table.rows["configuration/revisions/2"].version.is_zero());
  }

  // Guards against one change id that refers to two documents.
  void TestReusedChangeIdIsRefused() {
    FakePlatform platform(1);
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    const auto save_result = [&](const CommitResult& last) { result = last; };
    store.Commit(MakeChange(0, "a"), save_result);
    platform.queue.RunAll();
    ConfigurationDocument other = MakeChange(1, "a");
    other.content = "other";
    store.Commit(other, save_result);
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kConflict);
  }

  // Guards against a gap in the revisions, behind which readers would not find later
  // commits.
  void TestMissingBaseIsRefused() {
    FakePlatform platform(1);
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    store.Commit(MakeChange(7, "a"), [&](const CommitResult& last) { result = last; });
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kConflict);
    CPPUNIT_ASSERT(platform.table.history.empty());
  }

  // Guards against a starting host that takes an old revision for the newest, even if the
  // hint row lags or is lost.
  void TestLaggingReaderGetsNewestRevision() {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      FakePlatform platform(seed);
      platform.table.rates = {.response_lost = 0.2};
      ConfigurationStore store = platform.NewStore();
      for (std::uint64_t base = 0; base < 20; ++base) {
        store.Commit(MakeChange(base, "change-" + std::to_string(base)),
                     [](const CommitResult&) {});
        platform.queue.RunAll();
      }
      if (seed % 3 == 0) {
        platform.table.rows.erase("configuration/current");
      }
      std::optional<ConfigurationDocument> newest;
      store.ReadNewest(seed % 20, true,
                       [&](const auto& document, const Error&) { newest = document; });
      platform.queue.RunAll();
      CPPUNIT_ASSERT(newest.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, newest->revision);
    }
  }

  // Guards against a committed row whose document cannot be read.
  void TestObjectStoreOutageWritesNoRow() {
    FakePlatform platform(1);
    platform.objects.down = true;
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    store.Commit(MakeChange(0, "a"), [&](const CommitResult& last) { result = last; });
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kNotCommitted);
    CPPUNIT_ASSERT(platform.table.history.empty());
  }

  // Guards against telling an operator that the table is unreachable although it refused the
  // write.
  void TestFailedCommitStatesLastError() {
    for (const Error& failure : {Error{ErrorCode::kInvalidArgument, "platform: status 400"},
                                 Error{ErrorCode::kUnreachable, "platform: connection refused"}}) {
      FakePlatform platform(1);
      platform.table.rates.write_failure = 1;
      platform.table.failure = failure;
      ConfigurationStore store = platform.NewStore();
      CommitResult result;
      store.Commit(MakeChange(0, "a"), [&](const CommitResult& last) { result = last; });
      platform.queue.RunAll();
      CPPUNIT_ASSERT(result.status == CommitStatus::kNotCommitted);
      CPPUNIT_ASSERT_EQUAL("the table did not accept the write: " + failure.message,
                           result.message);
    }
  }

  // Guards against a failed read-back whose reason is not reported.
  void TestFailedReadBackStatesLastError() {
    FakePlatform platform(1);
    ConfigurationStore store = platform.NewStore();
    store.Commit(MakeChange(0, "a"), [](const CommitResult&) {});
    platform.queue.RunAll();
    platform.table.rates.read_failure = 1;
    platform.table.failure = {ErrorCode::kProtocol, "platform: unexpected response body"};
    CommitResult result;
    store.Commit(MakeChange(0, "b"), [&](const CommitResult& last) { result = last; });
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kNotCommitted);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the table did not accept the write: platform: unexpected response body"),
        result.message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibHost/configuration_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <memory>
#include <set>

#include "Tests/LibHost/fake_platform.h"

namespace pimentopin {
namespace {

constexpr std::uint64_t kSeeds = 300;

// One platform with any number of stores on it, as on several hosts.
struct Platform {
  explicit Platform(std::uint64_t seed)
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

ConfigurationDocument Change(std::uint64_t base, const std::string& change_id) {
  return {
      .base_revision = base, .change_id = change_id, .author = "ama", .content = "of " + change_id};
}

class ConfigurationStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(TestRaceHasOneWinnerAndOneConflict);
  CPPUNIT_TEST(TestResultMatchesTableUnderFaults);
  CPPUNIT_TEST(TestSameChangeIdCommitsOnce);
  CPPUNIT_TEST(TestChangeIdOfAnotherChangeIsRefused);
  CPPUNIT_TEST(TestMissingBaseIsRefused);
  CPPUNIT_TEST(TestReaderFarBehindGetsNewest);
  CPPUNIT_TEST(TestObjectStoreDownWritesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two operators who are both told that their change is in
  // force as the same revision.
  void TestRaceHasOneWinnerAndOneConflict() {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      Platform platform(seed);
      ConfigurationStore first = platform.NewStore();
      ConfigurationStore second = platform.NewStore();
      std::vector<CommitResult> results;
      const auto collect = [&](const CommitResult& result) { results.push_back(result); };
      first.Commit(Change(0, "a"), collect);
      second.Commit(Change(0, "b"), collect);
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

  // Guards against a commit that reports success without the row, reports "not
  // committed" although the row exists, or replaces a committed row.
  void TestResultMatchesTableUnderFaults() {
    std::map<CommitStatus, int> counts;
    for (std::uint64_t seed = 0; seed < 10 * kSeeds; ++seed) {
      Platform platform(seed);
      platform.table.rates = {
          .read_fails = 0.3, .write_fails = 0.3, .answer_lost = 0.2, .applied_late = 0.15};
      ConfigurationStore first = platform.NewStore();
      ConfigurationStore second = platform.NewStore();
      std::map<std::string, CommitResult> results;
      first.Commit(Change(0, "a"), [&](const CommitResult& result) { results["a"] = result; });
      second.Commit(Change(0, "b"), [&](const CommitResult& result) { results["b"] = result; });
      platform.queue.RunAll();
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
      const auto& values = platform.table.history["configuration/revisions/1"];
      CPPUNIT_ASSERT(values.size() <= 1);
      const std::string committed = values.empty() ? "" : values.front();
      for (const auto& [change, result] : results) {
        ++counts[result.status];
        const std::string place = "seed " + std::to_string(seed) + " change " + change;
        if (result.status == CommitStatus::kCommitted) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(place, change, committed);
        } else if (result.status != CommitStatus::kUnknown) {
          CPPUNIT_ASSERT_MESSAGE(place, change != committed);
        }
      }
    }
    for (const CommitStatus status : {CommitStatus::kCommitted, CommitStatus::kConflict,
                                      CommitStatus::kNotCommitted, CommitStatus::kUnknown}) {
      CPPUNIT_ASSERT_MESSAGE("a status never occurred, so the faults cover too little",
                             counts[status] > 0);
    }
  }

  // Guards against a second revision when an operator asks again after a lost answer.
  void TestSameChangeIdCommitsOnce() {
    Platform platform(1);
    ConfigurationStore store = platform.NewStore();
    std::vector<CommitResult> results;
    for (int call = 0; call < 2; ++call) {
      store.Commit(Change(0, "a"), [&](const CommitResult& result) { results.push_back(result); });
      platform.queue.RunAll();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
    CPPUNIT_ASSERT(results[0].status == CommitStatus::kCommitted);
    CPPUNIT_ASSERT(results[0] == results[1]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         platform.table.rows["configuration/revisions/2"].version);
  }

  // Guards against one change id that stands for two documents.
  void TestChangeIdOfAnotherChangeIsRefused() {
    Platform platform(1);
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    const auto keep = [&](const CommitResult& last) { result = last; };
    store.Commit(Change(0, "a"), keep);
    platform.queue.RunAll();
    ConfigurationDocument other = Change(1, "a");
    other.content = "other";
    store.Commit(other, keep);
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kConflict);
  }

  // Guards against a gap in the revisions that would hide a commit from readers.
  void TestMissingBaseIsRefused() {
    Platform platform(1);
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    store.Commit(Change(7, "a"), [&](const CommitResult& last) { result = last; });
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kConflict);
    CPPUNIT_ASSERT(platform.table.history.empty());
  }

  // Guards against a starting host that takes an old revision for the newest,
  // also when the hint row lags or is lost.
  void TestReaderFarBehindGetsNewest() {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      Platform platform(seed);
      platform.table.rates = {.answer_lost = 0.2};
      ConfigurationStore store = platform.NewStore();
      for (std::uint64_t base = 0; base < 20; ++base) {
        store.Commit(Change(base, "change-" + std::to_string(base)), [](const CommitResult&) {});
        platform.queue.RunAll();
      }
      if (seed % 3 == 0) {
        platform.table.rows.erase("configuration/current");
      }
      std::optional<ConfigurationDocument> newest;
      store.ReadNewest(seed % 20, [&](const auto& document, const Error&) { newest = document; });
      platform.queue.RunAll();
      CPPUNIT_ASSERT(newest.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, newest->revision);
    }
  }

  // Guards against a committed row whose document cannot be read.
  void TestObjectStoreDownWritesNothing() {
    Platform platform(1);
    platform.objects.down = true;
    ConfigurationStore store = platform.NewStore();
    CommitResult result;
    store.Commit(Change(0, "a"), [&](const CommitResult& last) { result = last; });
    platform.queue.RunAll();
    CPPUNIT_ASSERT(result.status == CommitStatus::kNotCommitted);
    CPPUNIT_ASSERT(platform.table.history.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

}  // namespace
}  // namespace pimentopin

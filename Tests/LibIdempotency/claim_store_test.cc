#include "Libraries/LibIdempotency/claim_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>
#include <memory>

#include "Libraries/LibIdempotency/claim_row.h"
#include "Tests/LibIdempotency/faulty_table.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFirstSeed = 5000;
constexpr std::uint64_t kSeeds = 1000;
constexpr Fingerprint kFingerprint{42};

// A host with a claim store that can be paused and restarted. It calls Tick only when the claim
// store asks for it, as the host process does.
struct SimulatedHost {
  explicit SimulatedHost(FaultyDatabase& shared_database)
      : database(shared_database),
        table(shared_database,
              [this](std::function<void()> action) {
                if (this->paused) {
                  this->queued_callbacks.push_back(std::move(action));
                } else {
                  action();
                }
              }),
        claim_store(this->CreateClaimStore()) {}

  std::unique_ptr<ClaimStore> CreateClaimStore() {
    return std::make_unique<ClaimStore>(
        this->table, [this](TimePoint when) { this->ScheduleTick(when); },
        [this](const ClaimKey& key, AttemptId) { this->lost_claims.push_back(key); },
        [this](const ClaimKey&, const Findings& findings) {
          this->row_findings += findings.ToText();
        });
  }
  // Keeps the earliest requested time only.
  void ScheduleTick(TimePoint when) {
    if (this->next_tick && *this->next_tick <= when) {
      return;
    }
    this->next_tick = when;
    this->database.ScheduleAt(when, [this, when] { this->OnTickDue(when); });
  }
  void OnTickDue(TimePoint when) {
    if (this->next_tick != when) {
      return;
    }
    if (this->paused) {
      this->queued_callbacks.push_back([this, when] { this->OnTickDue(when); });
      return;
    }
    this->next_tick.reset();
    this->claim_store->Tick(this->database.now);
  }
  void Pause(Duration duration) {
    this->paused = true;
    this->database.ScheduleAt(this->database.now + duration, [this] {
      this->paused = false;
      for (const auto& action : std::exchange(this->queued_callbacks, {})) {
        action();
      }
    });
  }
  // Discards all state in memory, including operations that were not sent yet.
  void Restart() {
    ++this->restart_count;
    this->queued_callbacks.clear();
    this->next_tick.reset();
    this->claim_store = this->CreateClaimStore();
  }

  FaultyDatabase& database;
  FaultyTable table;
  std::unique_ptr<ClaimStore> claim_store;
  // Time of the earliest requested call of Tick.
  std::optional<TimePoint> next_tick;
  std::vector<ClaimKey> lost_claims;
  // Of invalid rows.
  std::string row_findings;
  bool paused = false;
  std::uint64_t restart_count = 0;
  std::vector<std::function<void()>> queued_callbacks;
};

// Events of one key, as observed outside of the claim stores.
struct KeyHistory {
  int runs = 0;
  int stored = 0;
  // The claim may have been lost in a restart, or was abandoned.
  bool may_be_lost = false;
};

struct Scenario {
  explicit Scenario(std::uint64_t seed, double fault_rate) : database(seed) {
    this->database.fault_rate = fault_rate;
    for (int index = 0; index < 3; ++index) {
      this->hosts.push_back(std::make_unique<SimulatedHost>(this->database));
    }
  }

  static ClaimKey Key(std::size_t index) {
    return {"booking", "wheels", "key-" + std::to_string(index)};
  }

  void Claim(SimulatedHost& host, std::size_t key) {
    const AttemptId attempt{++this->attempts};
    ++this->pending_claims;
    // Some limits are too short for a reply of the table.
    const TimePoint limit =
        this->faults_stopped
            ? TimePoint::max()
            : this->database.now + this->database.RandomDuration(Duration(0), seconds(2));
    host.claim_store->Claim(
        this->database.now, Key(key), attempt, kFingerprint, limit,
        [this, &host, key, attempt, restart_count = host.restart_count](const ClaimResult& result) {
          --this->pending_claims;
          ++this->decisions[result.decision];
          if (result.decision == ClaimDecision::kRun) {
            this->RunOrRelease(host, key, attempt, restart_count);
          }
        });
  }

  // Waits for a random time, then runs the request, releases the claim or abandons it.
  void RunOrRelease(SimulatedHost& host,
                    std::size_t key,
                    AttemptId attempt,
                    std::uint64_t restart_count) {
    const Duration wait =
        this->database.RandomDuration(Duration(0), seconds(this->faults_stopped ? 1 : 10));
    this->database.ScheduleAt(
        this->database.now + wait, [this, &host, key, attempt, restart_count] {
          KeyHistory& history = this->key_histories[key];
          if (host.restart_count != restart_count) {
            return;
          }
          const auto choice = this->faults_stopped ? 9 : this->database.random.Below(10);
          if (choice < 4) {
            host.claim_store->Release(this->database.now, attempt);
            return;
          }
          ++history.runs;
          if (choice == 4) {
            history.may_be_lost = true;
            host.claim_store->Abandon(attempt);
            return;
          }
          ++history.stored;
          host.claim_store->Complete(this->database.now, attempt,
                                     {200, {{"Content-Type", "text/plain"}}, "run"});
        });
  }

  // Claims keys and pauses and restarts hosts at random times.
  void InjectFaults(Duration duration, std::size_t keys, bool restarts) {
    const TimePoint end = this->database.now + duration;
    while (this->database.now < end) {
      this->database.RunUntil(this->database.now +
                              this->database.RandomDuration(Duration(0), milliseconds(600)));
      SimulatedHost& host = *this->hosts[this->database.random.Below(this->hosts.size())];
      const auto choice = this->database.random.Below(20);
      if (choice == 0 && restarts) {
        for (std::size_t key = 0; key < keys; ++key) {
          this->key_histories[key].may_be_lost = true;
        }
        host.Restart();
      } else if (choice <= 2 && !host.paused) {
        host.Pause(this->database.RandomDuration(Duration(0), seconds(20)));
      } else if (!host.paused) {
        this->Claim(host, this->database.random.Below(keys));
      }
    }
  }

  // Stops the faults and lets pending operations finish.
  void StopFaultsAndFinish() {
    this->database.fault_rate = 0;
    this->faults_stopped = true;
    this->database.RunUntil(this->database.now + seconds(120));
  }

  int MaximumRuns() const {
    int maximum = 0;
    for (const auto& [key, history] : this->key_histories) {
      maximum = std::max(maximum, history.runs);
    }
    return maximum;
  }

  FaultyDatabase database;
  std::vector<std::unique_ptr<SimulatedHost>> hosts;
  std::map<std::size_t, KeyHistory> key_histories;
  std::map<ClaimDecision, std::uint64_t> decisions;
  std::uint64_t attempts = 0;
  int pending_claims = 0;
  bool faults_stopped = false;
};

class ClaimStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimStoreTest);
  CPPUNIT_TEST(TestNoKeyRunsTwice);
  CPPUNIT_TEST(TestAllClaimsAreResolved);
  CPPUNIT_TEST(TestUnconditionalWritesAllowSecondRuns);
  CPPUNIT_TEST(TestLostReplyIsReadBack);
  CPPUNIT_TEST(TestTableDownMeansNotRun);
  CPPUNIT_TEST(TestLateClaimCannotApplyAfterTimeout);
  CPPUNIT_TEST(TestClaimOutlivesItsLimit);
  CPPUNIT_TEST(TestClaimsOutliveTheCommonLimit);
  CPPUNIT_TEST(TestLateClaimAppliesAfterItsLimit);
  CPPUNIT_TEST(TestKeyIsWrittenAfterTheLimit);
  CPPUNIT_TEST(TestDecisionsByRow);
  CPPUNIT_TEST(TestLastResponseOfIdleHostIsStored);
  CPPUNIT_TEST(TestLastClaimOfIdleHostIsReleased);
  CPPUNIT_TEST(TestIdleStoreRequestsNoTick);
  CPPUNIT_TEST(TestLostClaimIsReported);
  CPPUNIT_TEST(TestReleasedClaimIsNotReportedAsLost);
  CPPUNIT_TEST(TestCompletionIsRetriedWhileTableIsDown);
  CPPUNIT_TEST(TestEndingHostLosesAResponseAfterAnOutage);
  CPPUNIT_TEST(TestLargeBodyIsNotStored);
  CPPUNIT_TEST(TestWritesAreBatched);
  CPPUNIT_TEST(TestRowKeepsItsFields);
  CPPUNIT_TEST(TestUnknownRowsNeverPermitRun);
  CPPUNIT_TEST(TestMalformedStatusIsReplayed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Property P4: guards against a second run of a request under any mix of lost
  // replies, late writes, pauses, restarts and several hosts using the same key.
  void TestNoKeyRunsTwice() {
    std::uint64_t runs = 0;
    std::uint64_t claims = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      Scenario scenario(seed, 0.1 + 0.1 * static_cast<double>(seed % 5));
      scenario.InjectFaults(seconds(40), 4, true);
      scenario.StopFaultsAndFinish();
      for (const auto& [key, history] : scenario.key_histories) {
        runs += static_cast<std::uint64_t>(history.runs);
        CPPUNIT_ASSERT_MESSAGE("key ran twice, seed " + std::to_string(seed), history.runs <= 1);
      }
      claims += scenario.attempts;
    }
    std::cout << "at most one run: seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1
              << ", " << claims << " claims, " << runs << " runs\n";
    CPPUNIT_ASSERT(runs > kSeeds);
  }

  // Guards against keys that stay claimed although nothing was sent, responses that are
  // not stored and claims without a result.
  void TestAllClaimsAreResolved() {
    std::uint64_t replayed = 0;
    std::uint64_t freed = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      const std::string label = ", seed " + std::to_string(seed);
      Scenario scenario(seed, 0.1 + 0.1 * static_cast<double>(seed % 5));
      scenario.InjectFaults(seconds(30), 4, false);
      scenario.StopFaultsAndFinish();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("claim without result" + label, 0, scenario.pending_claims);
      for (const auto& host : scenario.hosts) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("write pending" + label, std::size_t{0},
                                     host->claim_store->pending_writes());
        CPPUNIT_ASSERT_MESSAGE("claim lost" + label, host->lost_claims.empty());
      }
      for (std::size_t key = 0; key < 4; ++key) {
        const KeyHistory before = scenario.key_histories[key];
        scenario.decisions.clear();
        scenario.Claim(*scenario.hosts[key % 3], key);
        scenario.database.RunUntil(scenario.database.now + seconds(3));
        ClaimDecision expected = ClaimDecision::kRun;
        if (before.runs > 0) {
          expected = before.may_be_lost ? ClaimDecision::kInProgressOrLost : ClaimDecision::kReplay;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("unexpected decision" + label, std::uint64_t{1},
                                     scenario.decisions[expected]);
        replayed += expected == ClaimDecision::kReplay ? 1 : 0;
        freed += expected == ClaimDecision::kRun ? 1 : 0;
      }
    }
    std::cout << "all claims are resolved: seeds " << kFirstSeed << " to "
              << kFirstSeed + kSeeds - 1 << ", " << replayed << " replayed, " << freed << " free\n";
    CPPUNIT_ASSERT(replayed > 0 && freed > 0);
  }

  // Checks that the property test detects second runs: here the table ignores the
  // expected versions.
  void TestUnconditionalWritesAllowSecondRuns() {
    std::uint64_t scenarios_with_second_run = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 20; ++seed) {
      Scenario scenario(seed, 0.3);
      scenario.database.ignore_versions = true;
      scenario.InjectFaults(seconds(40), 4, true);
      scenarios_with_second_run += scenario.MaximumRuns() > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT(scenarios_with_second_run > 10);
  }

  // Guards against refusing a request that this host has claimed, and against treating
  // the claim of another attempt as its own.
  void TestLostReplyIsReadBack() {
    FaultyDatabase database(1);
    SimulatedHost host(database);
    SetFaultScript(database, {TableFault::kReplyLost});
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    SetFaultScript(database, {TableFault::kReplyLost});
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kInProgressOrLost);
  }

  // Guards against running without a confirmed claim, and against a key that stays
  // claimed after the caller was told not-run.
  void TestTableDownMeansNotRun() {
    FaultyDatabase database(2);
    SimulatedHost host(database);
    database.fault_script = [] { return TableFault::kNotApplied; };
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kTableUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.claim_store->pending_writes());
    database.fault_script = nullptr;
    database.RunUntil(database.now + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kRun);
  }

  // Guards against a claim that is applied after the host gave up and blocks the key
  // forever.
  void TestLateClaimCannotApplyAfterTimeout() {
    FaultyDatabase database(3);
    SimulatedHost host(database);
    bool first = true;
    database.fault_script = [&] {
      return std::exchange(first, false) ? TableFault::kAppliedLate : TableFault::kNotApplied;
    };
    // No read succeeds before the claim times out.
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kTableUnavailable);
    database.fault_script = nullptr;
    database.RunUntil(database.now + seconds(90));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    const auto row = ParseClaimRow(database.rows["claim/booking/wheels/a"].value);
    CPPUNIT_ASSERT(row && row->state == ClaimState::kReleased);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kRun);
  }

  // Guards against a request that waits for its claim beyond its deadline.
  void TestClaimOutlivesItsLimit() {
    FaultyDatabase database(3);
    SimulatedHost host(database);
    database.fault_script = [] { return TableFault::kNoReply; };
    const TimePoint limit = database.now + milliseconds(300);
    std::optional<ClaimDecision> decision;
    ClaimUntil(host, AttemptId{1}, limit, decision);
    database.RunUntil(limit - milliseconds(1));
    CPPUNIT_ASSERT(!decision);
    database.RunUntil(limit + ClaimStore::kBatchDelay);
    CPPUNIT_ASSERT(decision == ClaimDecision::kTableUnavailable);
    AssertKeyBecomesFree(host);
  }

  // Guards against requests that wait for their claims beyond the end of their host.
  void TestClaimsOutliveTheCommonLimit() {
    FaultyDatabase database(3);
    SimulatedHost host(database);
    database.fault_script = [] { return TableFault::kNoReply; };
    std::optional<ClaimDecision> decision;
    ClaimUntil(host, AttemptId{1}, TimePoint::max(), decision);
    database.RunUntil(database.now + milliseconds(100));
    const TimePoint limit = database.now + milliseconds(200);
    host.claim_store->LimitClaims(limit);
    database.RunUntil(limit - milliseconds(1));
    CPPUNIT_ASSERT(!decision);
    database.RunUntil(limit + ClaimStore::kBatchDelay);
    CPPUNIT_ASSERT(decision == ClaimDecision::kTableUnavailable);
    host.claim_store->LimitClaims(TimePoint::max());
    AssertKeyBecomesFree(host);
  }

  // Guards against a claim that is applied after its limit and blocks the key forever.
  void TestLateClaimAppliesAfterItsLimit() {
    FaultyDatabase database(3);
    SimulatedHost host(database);
    bool first = true;
    database.fault_script = [&] {
      return std::exchange(first, false) ? TableFault::kAppliedLate : TableFault::kNone;
    };
    // The claim is given up before a read could find it.
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}, kFingerprint, milliseconds(20)).decision ==
                   ClaimDecision::kTableUnavailable);
    database.RunUntil(database.now + seconds(90));
    AssertKeyBecomesFree(host);
  }

  // Guards against a write that has to be taken back although nothing could follow it.
  void TestKeyIsWrittenAfterTheLimit() {
    FaultyDatabase database(3);
    SimulatedHost host(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}, kFingerprint, Duration(0)).decision ==
                   ClaimDecision::kTableUnavailable);
    host.claim_store->LimitClaims(database.now);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kTableUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, database.calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
  }

  // Guards against decisions that differ from the table in section 5.6 of the design.
  void TestDecisionsByRow() {
    FaultyDatabase database(4);
    SimulatedHost host(database);
    SimulatedHost other(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{2}).decision == ClaimDecision::kInProgressOrLost);
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{3}, Fingerprint{7}).decision ==
                   ClaimDecision::kKeyReused);
    host.claim_store->Release(database.now, AttemptId{1});
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{4}).decision == ClaimDecision::kRun);
    // The released claim no longer counts.
    const StoredResponse response{
        201, {{"Location", "/bookings/7"}}, std::string("\0\xff\x80z", 4)};
    host.claim_store->Complete(database.now, AttemptId{1}, {500, {}, "late"});
    other.claim_store->Complete(database.now, AttemptId{4}, response);
    database.RunUntil(database.now + seconds(1));
    const ClaimResult replay = Claim(host, "a", AttemptId{5});
    CPPUNIT_ASSERT(replay.decision == ClaimDecision::kReplay);
    CPPUNIT_ASSERT(replay.response == response);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{6}, Fingerprint{7}).decision ==
                   ClaimDecision::kKeyReused);
    CPPUNIT_ASSERT(Claim(host, "b", AttemptId{7}).decision == ClaimDecision::kRun);
    host.claim_store->Abandon(AttemptId{7});
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT(Claim(other, "b", AttemptId{8}).decision == ClaimDecision::kInProgressOrLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
  }

  // Guards against a response that stays unwritten until the next keyed request arrives.
  void TestLastResponseOfIdleHostIsStored() {
    FaultyDatabase database(9);
    SimulatedHost host(database);
    SimulatedHost other(database);
    std::uint64_t attempt = 0;
    for (const std::string key : {"a", "b", "c"}) {
      const AttemptId attempt_id{++attempt};
      CPPUNIT_ASSERT(Claim(host, key, attempt_id).decision == ClaimDecision::kRun);
      host.claim_store->Complete(database.now, attempt_id, {200, {}, key});
    }
    database.RunUntil(database.now + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    for (const std::string key : {"a", "b", "c"}) {
      const ClaimResult repeated = Claim(other, key, AttemptId{++attempt});
      CPPUNIT_ASSERT_MESSAGE(key, repeated.decision == ClaimDecision::kReplay);
      CPPUNIT_ASSERT(repeated.response->body == key);
    }
  }

  // Guards against the key of a request that was not run staying claimed until the next keyed
  // request arrives.
  void TestLastClaimOfIdleHostIsReleased() {
    FaultyDatabase database(10);
    SimulatedHost host(database);
    SimulatedHost other(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    host.claim_store->Release(database.now, AttemptId{1});
    database.RunUntil(database.now + milliseconds(200));
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{2}).decision == ClaimDecision::kRun);
  }

  // Guards against an idle host that wakes up every 5 ms, also while it holds a claim.
  void TestIdleStoreRequestsNoTick() {
    FaultyDatabase database(11);
    SimulatedHost host(database);
    CPPUNIT_ASSERT(!host.next_tick);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    CPPUNIT_ASSERT(!host.next_tick);
    host.claim_store->Complete(database.now, AttemptId{1}, {200, {}, "x"});
    CPPUNIT_ASSERT(host.next_tick);
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT(!host.next_tick);
  }

  // Guards against a second run, after the table lost a claim, that the report does not count. The
  // other attempt may still run or may have stored its response.
  void TestLostClaimIsReported() {
    for (const bool other_is_done : {false, true}) {
      FaultyDatabase database(12);
      SimulatedHost host(database);
      SimulatedHost other(database);
      CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
      database.rows["claim/booking/wheels/a"] = {};
      CPPUNIT_ASSERT(Claim(other, "a", AttemptId{2}).decision == ClaimDecision::kRun);
      if (other_is_done) {
        other.claim_store->Complete(database.now, AttemptId{2}, {200, {}, "x"});
        database.RunUntil(database.now + seconds(1));
      } else {
        // The table counts the versions of all rows, so the new claim has a higher one.
        ++database.rows["claim/booking/wheels/a"].version.number;
      }
      host.claim_store->Complete(database.now, AttemptId{1}, {200, {}, "x"});
      database.RunUntil(database.now + seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
      CPPUNIT_ASSERT((host.lost_claims == std::vector<ClaimKey>{{"booking", "wheels", "a"}}));
      CPPUNIT_ASSERT(other.lost_claims.empty());
    }
  }

  // Guards against counting a request as run twice whose other attempt sent nothing.
  void TestReleasedClaimIsNotReportedAsLost() {
    FaultyDatabase database(13);
    SimulatedHost host(database);
    SimulatedHost other(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    database.rows["claim/booking/wheels/a"] = {};
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{2}).decision == ClaimDecision::kRun);
    other.claim_store->Release(database.now, AttemptId{2});
    database.RunUntil(database.now + seconds(1));
    host.claim_store->Complete(database.now, AttemptId{1}, {200, {}, "x"});
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    CPPUNIT_ASSERT(host.lost_claims.empty());
  }

  // Guards against losing a response because the table was unavailable when the run
  // ended, and against a clean exit before it is stored.
  void TestCompletionIsRetriedWhileTableIsDown() {
    FaultyDatabase database(5);
    SimulatedHost host(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    database.fault_script = [] { return TableFault::kNotApplied; };
    host.claim_store->Complete(database.now, AttemptId{1}, {200, {}, "x"});
    const std::uint64_t calls = database.calls;
    database.RunUntil(database.now + std::chrono::hours(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.claim_store->pending_writes());
    // At most one call per 5 s, so that a recovering table is not flooded.
    CPPUNIT_ASSERT(database.calls - calls < 800);
    database.fault_script = nullptr;
    database.RunUntil(database.now + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kReplay);
  }

  // Guards against losing a response because the host ends before the next try after an outage.
  void TestEndingHostLosesAResponseAfterAnOutage() {
    FaultyDatabase database(5);
    SimulatedHost host(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    database.fault_script = [] { return TableFault::kNotApplied; };
    host.claim_store->Complete(database.now, AttemptId{1}, {200, {}, "x"});
    database.RunUntil(database.now + seconds(61));
    const std::uint64_t calls = database.calls;
    host.claim_store->BeginFlush(database.now);
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.claim_store->pending_writes());
    constexpr std::uint64_t kMaxCalls = seconds(1) / ClaimStore::kFlushRetryDelay;
    CPPUNIT_ASSERT(database.calls - calls <= kMaxCalls);
    database.fault_script = nullptr;
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kReplay);
  }

  void TestLargeBodyIsNotStored() {
    FaultyDatabase database(6);
    SimulatedHost host(database);
    std::uint64_t attempt = 0;
    for (const std::size_t excess : {std::size_t{0}, std::size_t{1}}) {
      const std::string key = std::to_string(excess);
      const AttemptId attempt_id{++attempt};
      CPPUNIT_ASSERT(Claim(host, key, attempt_id).decision == ClaimDecision::kRun);
      const std::string body(ClaimStore::kMaxStoredBodyBytes + excess, 'x');
      host.claim_store->Complete(database.now, attempt_id, {200, {}, body});
      database.RunUntil(database.now + seconds(1));
      const ClaimResult again = Claim(host, key, AttemptId{++attempt});
      CPPUNIT_ASSERT(again.decision ==
                     (excess == 0 ? ClaimDecision::kReplay : ClaimDecision::kAlreadyRun));
    }
  }

  // Guards against one table call per claim.
  void TestWritesAreBatched() {
    FaultyDatabase database(7);
    SimulatedHost host(database);
    int running = 0;
    for (std::uint64_t index = 1; index <= 300; ++index) {
      host.claim_store->Claim(database.now, {"booking", "wheels", std::to_string(index)},
                              AttemptId{index}, kFingerprint, TimePoint::max(),
                              [&](const ClaimResult& result) {
                                running += result.decision == ClaimDecision::kRun ? 1 : 0;
                              });
    }
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(300, running);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, database.calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, database.writes);
  }

  // Guards against bodies and headers that change between storage and replay.
  void TestRowKeepsItsFields() {
    const bool passed = rc::check("round trip of a claim row", [] {
      ClaimRow row{ClaimState::kDone, AttemptId{*rc::gen::arbitrary<std::uint64_t>()},
                   Fingerprint{*rc::gen::arbitrary<std::uint64_t>()}, StoredResponse{}};
      row.response->status = *rc::gen::inRange(200, 600);
      for (const auto& [name, value] :
           *rc::gen::arbitrary<std::vector<std::pair<std::string, std::string>>>()) {
        row.response->headers.push_back({name, value});
      }
      if (*rc::gen::arbitrary<bool>()) {
        row.response->body = *rc::gen::arbitrary<std::string>();
      }
      RC_ASSERT(ParseClaimRow(FormatClaimRow(row)) == row);
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a run based on a row that another version or an operator wrote.
  void TestUnknownRowsNeverPermitRun() {
    std::uint64_t attempt = 0;
    for (const char* value : {"", "{}", "null", "[1]", "{\"state\":\"open\"}",
                              "{\"state\":\"released\"}", "{\"state\":\"done\",\"attempt\":1}"}) {
      FaultyDatabase database(8);
      SimulatedHost host(database);
      database.rows["claim/booking/wheels/a"] = {1, value};
      CPPUNIT_ASSERT(Claim(host, "a", AttemptId{++attempt}).decision ==
                     ClaimDecision::kInProgressOrLost);
    }
  }

  // Guards against replaying a stored response whose status is none of a final response.
  void TestMalformedStatusIsReplayed() {
    std::string replayed;
    std::uint64_t attempt = 0;
    for (const std::string status : {"0",
                                     "000",
                                     "99",
                                     "20",
                                     "100",
                                     "101",
                                     "103",
                                     "199",
                                     "600",
                                     "999",
                                     "2000",
                                     "-200",
                                     "+200",
                                     "0200",
                                     "abc",
                                     "\"200\"",
                                     "200.0",
                                     "200.7",
                                     "true",
                                     "null",
                                     "[200]",
                                     "4294967496",
                                     "18446744073709551816",
                                     "-4294967096",
                                     "1e400"}) {
      FaultyDatabase database(8);
      SimulatedHost host(database);
      const std::string value =
          R"({"attempt":7,"fingerprint":42,"state":"done","outcome":{"body":"",)"
          R"("headers":[],"status":)" +
          status + "}}";
      database.rows["claim/booking/wheels/a"] = {1, value};
      const ClaimResult result = Claim(host, "a", AttemptId{++attempt});
      if (result.decision != ClaimDecision::kInProgressOrLost || host.row_findings.empty()) {
        replayed += status + " ";
      }
      if (status == "600") {
        CPPUNIT_ASSERT_EQUAL(
            std::string("/outcome/status: must be a whole number from 200 to 599\n"),
            host.row_findings);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), replayed);
  }

 private:
  static ClaimResult Claim(SimulatedHost& host,
                           const std::string& key,
                           AttemptId attempt,
                           Fingerprint fingerprint = kFingerprint,
                           Duration remaining = seconds(10)) {
    std::optional<ClaimResult> decision;
    host.claim_store->Claim(host.database.now, {"booking", "wheels", key}, attempt, fingerprint,
                            host.database.now + remaining, [&](const ClaimResult& result) {
                              CPPUNIT_ASSERT(!decision);
                              decision = result;
                            });
    host.database.RunUntil(host.database.now + seconds(2));
    CPPUNIT_ASSERT(decision);
    return *decision;
  }

  static void ClaimUntil(SimulatedHost& host,
                         AttemptId attempt,
                         TimePoint limit,
                         std::optional<ClaimDecision>& decision) {
    host.claim_store->Claim(host.database.now, {"booking", "wheels", "a"}, attempt, kFingerprint,
                            limit, [&decision](const ClaimResult& result) {
                              CPPUNIT_ASSERT(!decision);
                              decision = result.decision;
                            });
  }
  // Ends the faults of the table and claims key "a" again.
  static void AssertKeyBecomesFree(SimulatedHost& host) {
    host.database.fault_script = nullptr;
    host.database.RunUntil(host.database.now + seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.claim_store->pending_writes());
    const auto row = ParseClaimRow(host.database.rows["claim/booking/wheels/a"].value);
    CPPUNIT_ASSERT(row && row->state == ClaimState::kReleased);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{99}).decision == ClaimDecision::kRun);
  }

  // Sets the faults of the next calls; later calls have none.
  static void SetFaultScript(FaultyDatabase& database, std::vector<TableFault> faults) {
    auto next = std::make_shared<std::size_t>(0);
    database.fault_script = [faults = std::move(faults), next] {
      return *next < faults.size() ? faults[(*next)++] : TableFault::kNone;
    };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimStoreTest);

}  // namespace
}  // namespace pimentopin

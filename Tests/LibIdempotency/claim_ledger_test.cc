#include "Libraries/LibIdempotency/claim_ledger.h"

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

// One host: a ledger that can be paused and replaced.
struct Host {
  explicit Host(FaultyDatabase& shared)
      : database(shared),
        table(shared,
              [this](std::function<void()> run) {
                if (this->paused) {
                  this->held.push_back(std::move(run));
                } else {
                  run();
                }
              }),
        ledger(std::make_unique<ClaimLedger>(this->table)) {
    this->Tick();
  }

  void Tick() {
    this->database.At(this->database.now + milliseconds(5), [this] {
      if (!this->paused) {
        this->ledger->Tick(this->database.now);
      }
      this->Tick();
    });
  }
  void Pause(Duration duration) {
    this->paused = true;
    this->database.At(this->database.now + duration, [this] {
      this->paused = false;
      for (const auto& run : std::exchange(this->held, {})) {
        run();
      }
    });
  }
  // Everything in memory is lost, also what the host was about to send.
  void Restart() {
    ++this->generation;
    this->held.clear();
    this->ledger = std::make_unique<ClaimLedger>(this->table);
  }

  FaultyDatabase& database;
  FaultyTable table;
  std::unique_ptr<ClaimLedger> ledger;
  bool paused = false;
  std::uint64_t generation = 0;
  std::vector<std::function<void()>> held;
};

// What happened to one key, seen from outside of the ledgers.
struct Observation {
  int runs = 0;
  int stored = 0;
  // A claim may be lost with its host, or is abandoned.
  bool may_be_lost = false;
};

struct Scenario {
  explicit Scenario(std::uint64_t seed, double fault_rate) : database(seed) {
    this->database.fault_rate = fault_rate;
    for (int index = 0; index < 3; ++index) {
      this->hosts.push_back(std::make_unique<Host>(this->database));
    }
  }

  static ClaimKey Key(std::size_t index) {
    return {"booking", "wheels", "key-" + std::to_string(index)};
  }

  void Claim(Host& host, std::size_t key) {
    const AttemptId attempt{++this->attempts};
    ++this->undecided;
    host.ledger->Claim(
        this->database.now, Key(key), attempt, kFingerprint,
        [this, &host, key, attempt, run = host.generation](const ClaimResult& result) {
          --this->undecided;
          ++this->decisions[result.decision];
          if (result.decision == ClaimDecision::kRun) {
            this->Use(host, key, attempt, run);
          }
        });
  }

  // The holder waits for any time, then runs the request or gives it up.
  void Use(Host& host, std::size_t key, AttemptId attempt, std::uint64_t run) {
    const Duration wait = this->database.Between(Duration(0), seconds(this->quiet ? 1 : 10));
    this->database.At(this->database.now + wait, [this, &host, key, attempt, run] {
      Observation& seen = this->observations[key];
      if (host.generation != run) {
        return;
      }
      const auto choice = this->quiet ? 9 : this->database.random.Below(10);
      if (choice < 4) {
        host.ledger->Release(this->database.now, attempt);
        return;
      }
      ++seen.runs;
      if (choice == 4) {
        seen.may_be_lost = true;
        host.ledger->Abandon(attempt);
        return;
      }
      ++seen.stored;
      host.ledger->Complete(this->database.now, attempt,
                            {200, {{"Content-Type", "text/plain"}}, "run"});
    });
  }

  // Claims, pauses and restarts at random times.
  void Disturb(Duration duration, std::size_t keys, bool restarts) {
    const TimePoint end = this->database.now + duration;
    while (this->database.now < end) {
      this->database.RunUntil(this->database.now +
                              this->database.Between(Duration(0), milliseconds(600)));
      Host& host = *this->hosts[this->database.random.Below(this->hosts.size())];
      const auto choice = this->database.random.Below(20);
      if (choice == 0 && restarts) {
        for (std::size_t key = 0; key < keys; ++key) {
          this->observations[key].may_be_lost = true;
        }
        host.Restart();
      } else if (choice <= 2 && !host.paused) {
        host.Pause(this->database.Between(Duration(0), seconds(20)));
      } else if (!host.paused) {
        this->Claim(host, this->database.random.Below(keys));
      }
    }
  }

  // Faults end and what is under way comes to rest.
  void Settle() {
    this->database.fault_rate = 0;
    this->quiet = true;
    this->database.RunUntil(this->database.now + seconds(120));
  }

  int MostRuns() const {
    int most = 0;
    for (const auto& [key, seen] : this->observations) {
      most = std::max(most, seen.runs);
    }
    return most;
  }

  FaultyDatabase database;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<std::size_t, Observation> observations;
  std::map<ClaimDecision, std::uint64_t> decisions;
  std::uint64_t attempts = 0;
  int undecided = 0;
  bool quiet = false;
};

class ClaimLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimLedgerTest);
  CPPUNIT_TEST(TestNoKeyRunsTwice);
  CPPUNIT_TEST(TestKeysComeToRest);
  CPPUNIT_TEST(TestObserverSeesUnconditionalTable);
  CPPUNIT_TEST(TestLostAnswerIsReadBack);
  CPPUNIT_TEST(TestTableDownMeansNotRun);
  CPPUNIT_TEST(TestLateClaimCannotTakeEffectAfterGivingUp);
  CPPUNIT_TEST(TestDecisionsByRow);
  CPPUNIT_TEST(TestCompletionIsRetriedWhileTableIsDown);
  CPPUNIT_TEST(TestLargeBodyIsNotStored);
  CPPUNIT_TEST(TestWritesAreBatched);
  CPPUNIT_TEST(TestRowKeepsItsFields);
  CPPUNIT_TEST(TestForeignRowsNeverPermitRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  // P4. Guards against a second run under every mixture of lost answers, late
  // writes, pauses, restarts and hosts with the same key.
  void TestNoKeyRunsTwice() {
    std::uint64_t runs = 0;
    std::uint64_t claims = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      Scenario scenario(seed, 0.1 + 0.1 * static_cast<double>(seed % 5));
      scenario.Disturb(seconds(40), 4, true);
      scenario.Settle();
      for (const auto& [key, seen] : scenario.observations) {
        runs += static_cast<std::uint64_t>(seen.runs);
        CPPUNIT_ASSERT_MESSAGE("key ran twice, seed " + std::to_string(seed), seen.runs <= 1);
      }
      claims += scenario.attempts;
    }
    std::cout << "at most one run: seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1
              << ", " << claims << " claims, " << runs << " runs\n";
    CPPUNIT_ASSERT(runs > kSeeds);
  }

  // Guards against keys that stay claimed although nothing was sent, against
  // outcomes that are not stored and against claims without an answer.
  void TestKeysComeToRest() {
    std::uint64_t replayed = 0;
    std::uint64_t freed = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      const std::string label = ", seed " + std::to_string(seed);
      Scenario scenario(seed, 0.1 + 0.1 * static_cast<double>(seed % 5));
      scenario.Disturb(seconds(30), 4, false);
      scenario.Settle();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("claim without answer" + label, 0, scenario.undecided);
      for (const auto& host : scenario.hosts) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("write pending" + label, std::size_t{0},
                                     host->ledger->pending_writes());
      }
      for (std::size_t key = 0; key < 4; ++key) {
        const Observation before = scenario.observations[key];
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
    std::cout << "keys come to rest: seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1
              << ", " << replayed << " replayed, " << freed << " free\n";
    CPPUNIT_ASSERT(replayed > 0 && freed > 0);
  }

  // Shows that the observer of the first test sees second runs: here the table
  // ignores the expected versions.
  void TestObserverSeesUnconditionalTable() {
    std::uint64_t seen = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 20; ++seed) {
      Scenario scenario(seed, 0.3);
      scenario.database.ignore_versions = true;
      scenario.Disturb(seconds(40), 4, true);
      seen += scenario.MostRuns() > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT(seen > 10);
  }

  // Guards against refusing work that this host has claimed, and against
  // taking the claim of another host for one's own.
  void TestLostAnswerIsReadBack() {
    FaultyDatabase database(1);
    Host host(database);
    Script(database, {TableFault::kAnswerLost});
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    Script(database, {TableFault::kAnswerLost});
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kInProgressOrLost);
  }

  // Guards against running without a known claim, and against a key that stays
  // taken after the caller was told not-run.
  void TestTableDownMeansNotRun() {
    FaultyDatabase database(2);
    Host host(database);
    database.scripted = [] { return TableFault::kNotApplied; };
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kTableUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.ledger->pending_writes());
    database.scripted = nullptr;
    database.RunUntil(database.now + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.ledger->pending_writes());
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kRun);
  }

  // Guards against a claim that takes effect after the host gave it up and
  // keeps the key for good.
  void TestLateClaimCannotTakeEffectAfterGivingUp() {
    FaultyDatabase database(3);
    Host host(database);
    bool first = true;
    database.scripted = [&] {
      return std::exchange(first, false) ? TableFault::kAppliedLate : TableFault::kNotApplied;
    };
    // No read succeeds before the claim times out.
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kTableUnavailable);
    database.scripted = nullptr;
    database.RunUntil(database.now + seconds(90));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.ledger->pending_writes());
    const auto row = ParseClaimRow(database.rows["claim/booking/wheels/a"].value);
    CPPUNIT_ASSERT(row && row->state == ClaimState::kReleased);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kRun);
  }

  // Guards against a wrong row of the table in section 5.6 of the design.
  void TestDecisionsByRow() {
    FaultyDatabase database(4);
    Host host(database);
    Host other(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{2}).decision == ClaimDecision::kInProgressOrLost);
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{3}, Fingerprint{7}).decision ==
                   ClaimDecision::kKeyReused);
    host.ledger->Release(database.now, AttemptId{1});
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT(Claim(other, "a", AttemptId{4}).decision == ClaimDecision::kRun);
    // The released claim no longer counts.
    const StoredOutcome outcome{201, {{"Location", "/bookings/7"}}, std::string("\0\xff\x80z", 4)};
    host.ledger->Complete(database.now, AttemptId{1}, {500, {}, "late"});
    other.ledger->Complete(database.now, AttemptId{4}, outcome);
    database.RunUntil(database.now + seconds(1));
    const ClaimResult replay = Claim(host, "a", AttemptId{5});
    CPPUNIT_ASSERT(replay.decision == ClaimDecision::kReplay);
    CPPUNIT_ASSERT(replay.outcome == outcome);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{6}, Fingerprint{7}).decision ==
                   ClaimDecision::kKeyReused);
    CPPUNIT_ASSERT(Claim(host, "b", AttemptId{7}).decision == ClaimDecision::kRun);
    host.ledger->Abandon(AttemptId{7});
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT(Claim(other, "b", AttemptId{8}).decision == ClaimDecision::kInProgressOrLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.ledger->pending_writes());
  }

  // Guards against an outcome that is lost because the table was down when the
  // run ended, and against a clean exit before it is stored.
  void TestCompletionIsRetriedWhileTableIsDown() {
    FaultyDatabase database(5);
    Host host(database);
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{1}).decision == ClaimDecision::kRun);
    database.scripted = [] { return TableFault::kNotApplied; };
    host.ledger->Complete(database.now, AttemptId{1}, {200, {}, "x"});
    const std::uint64_t calls = database.calls;
    database.RunUntil(database.now + std::chrono::hours(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.ledger->pending_writes());
    // One call each 5 s at most, or the recovering table is flooded.
    CPPUNIT_ASSERT(database.calls - calls < 800);
    database.scripted = nullptr;
    database.RunUntil(database.now + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.ledger->pending_writes());
    CPPUNIT_ASSERT(Claim(host, "a", AttemptId{2}).decision == ClaimDecision::kReplay);
  }

  void TestLargeBodyIsNotStored() {
    FaultyDatabase database(6);
    Host host(database);
    std::uint64_t attempt = 0;
    for (const std::size_t excess : {std::size_t{0}, std::size_t{1}}) {
      const std::string key = std::to_string(excess);
      const AttemptId claimant{++attempt};
      CPPUNIT_ASSERT(Claim(host, key, claimant).decision == ClaimDecision::kRun);
      const std::string body(ClaimLedger::kMaxStoredBodyBytes + excess, 'x');
      host.ledger->Complete(database.now, claimant, {200, {}, body});
      database.RunUntil(database.now + seconds(1));
      const ClaimResult again = Claim(host, key, AttemptId{++attempt});
      CPPUNIT_ASSERT(again.decision ==
                     (excess == 0 ? ClaimDecision::kReplay : ClaimDecision::kAlreadyRun));
    }
  }

  // Guards against one call of the table for each claim.
  void TestWritesAreBatched() {
    FaultyDatabase database(7);
    Host host(database);
    int running = 0;
    for (std::uint64_t index = 1; index <= 300; ++index) {
      host.ledger->Claim(database.now, {"booking", "wheels", std::to_string(index)},
                         AttemptId{index}, kFingerprint, [&](const ClaimResult& result) {
                           running += result.decision == ClaimDecision::kRun ? 1 : 0;
                         });
    }
    database.RunUntil(database.now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(300, running);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, database.calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, database.writes);
  }

  // Guards against bodies and headers that change when they are replayed.
  void TestRowKeepsItsFields() {
    const bool passed = rc::check("round trip of a claim row", [] {
      ClaimRow row{ClaimState::kDone, AttemptId{*rc::gen::arbitrary<std::uint64_t>()},
                   Fingerprint{*rc::gen::arbitrary<std::uint64_t>()}, StoredOutcome{}};
      row.outcome->status = *rc::gen::inRange(100, 600);
      for (const auto& [name, value] :
           *rc::gen::arbitrary<std::vector<std::pair<std::string, std::string>>>()) {
        row.outcome->headers.push_back({name, value});
      }
      if (*rc::gen::arbitrary<bool>()) {
        row.outcome->body = *rc::gen::arbitrary<std::string>();
      }
      RC_ASSERT(ParseClaimRow(FormatClaimRow(row)) == row);
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a run on a row that another version or an operator wrote.
  void TestForeignRowsNeverPermitRun() {
    std::uint64_t attempt = 0;
    for (const char* value : {"", "{}", "null", "[1]", "{\"state\":\"open\"}",
                              "{\"state\":\"released\"}", "{\"state\":\"done\",\"attempt\":1}"}) {
      FaultyDatabase database(8);
      Host host(database);
      database.rows["claim/booking/wheels/a"] = {1, value};
      CPPUNIT_ASSERT(Claim(host, "a", AttemptId{++attempt}).decision ==
                     ClaimDecision::kInProgressOrLost);
    }
  }

 private:
  static ClaimResult Claim(Host& host,
                           const std::string& key,
                           AttemptId attempt,
                           Fingerprint fingerprint = kFingerprint) {
    std::optional<ClaimResult> decided;
    host.ledger->Claim(host.database.now, {"booking", "wheels", key}, attempt, fingerprint,
                       [&](const ClaimResult& result) {
                         CPPUNIT_ASSERT(!decided);
                         decided = result;
                       });
    host.database.RunUntil(host.database.now + seconds(2));
    CPPUNIT_ASSERT(decided);
    return *decided;
  }

  // Faults of the next calls; there are none after them.
  static void Script(FaultyDatabase& database, std::vector<TableFault> faults) {
    auto next = std::make_shared<std::size_t>(0);
    database.scripted = [faults = std::move(faults), next] {
      return *next < faults.size() ? faults[(*next)++] : TableFault::kNone;
    };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLedgerTest);

}  // namespace
}  // namespace pimentopin

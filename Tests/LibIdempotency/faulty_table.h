#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// What happens to one call of the table.
enum class TableFault {
  kNone,
  // Has no effect and is answered with an error.
  kNotApplied,
  // Takes effect; the answer is an error.
  kAnswerLost,
  // Answered with an error at once; takes effect up to a minute later.
  kAppliedLate,
  // Takes effect, and nothing is ever answered.
  kNoAnswer,
};

// Rows and events in virtual time, shared by the tables of several hosts.
class FaultyDatabase {
 public:
  explicit FaultyDatabase(std::uint64_t seed) : random(seed) {}

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, this->sequence++, std::move(run)});
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = end;
  }
  Duration Between(Duration low, Duration high) {
    const auto range = static_cast<std::uint64_t>((high - low).count());
    return low + Duration(static_cast<Duration::rep>(this->random.Below(range + 1)));
  }
  WriteResult Apply(const ConditionalWrite& write) {
    TableRow& row = this->rows[write.key];
    const bool matches = this->ignore_versions || row.version == write.expected_version;
    if (matches) {
      row = {row.version + 1, write.value};
    }
    return {matches, row.version};
  }
  // Faults at the given probability, each kind alike.
  TableFault NextFault() {
    if (this->scripted) {
      return this->scripted();
    }
    if (this->random.Unit() >= this->fault_rate) {
      return TableFault::kNone;
    }
    return static_cast<TableFault>(1 + this->random.Below(4));
  }

  TimePoint now{};
  RandomSource random;
  std::map<std::string, TableRow> rows;
  double fault_rate = 0.0;
  std::function<TableFault()> scripted;
  // Breaks the table: writes apply whatever version they expect.
  bool ignore_versions = false;
  std::uint64_t calls = 0;
  std::uint64_t writes = 0;

 private:
  struct Event {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
};

// The table as one host sees it. `deliver` runs the answers, unless the host is
// paused.
class FaultyTable : public TableStore {
 public:
  using Deliver = std::function<void(std::function<void()>)>;

  FaultyTable(FaultyDatabase& shared, Deliver runner)
      : database(shared), deliver(std::move(runner)) {}

  void Read(const std::string& key, ReadCallback callback) override {
    const TableFault fault = this->database.NextFault();
    ++this->database.calls;
    if (fault == TableFault::kNoAnswer) {
      return;
    }
    // The row is read at one moment and the answer arrives at a later one.
    this->After(this->Short(), [this, key, fault, callback = std::move(callback)] {
      const TableRow row = this->database.rows[key];
      const bool answered = fault == TableFault::kNone;
      const Duration delay = this->Short();
      this->After(delay, [this, row, answered, callback] {
        this->deliver([row, answered, callback] {
          callback(answered ? std::optional(row) : std::nullopt, {ErrorCode::kUnreachable, ""});
        });
      });
    });
  }

  void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) override {
    const TableFault fault = this->database.NextFault();
    ++this->database.calls;
    this->database.writes += writes.size();
    const bool late = fault == TableFault::kAppliedLate;
    if (late) {
      // The writes of a call are independent and may take effect apart.
      for (ConditionalWrite& write : writes) {
        const Duration delay = this->database.Between(Duration(0), std::chrono::seconds(60));
        this->After(delay, [this, write = std::move(write)] { this->database.Apply(write); });
      }
      writes.clear();
    }
    this->After(this->Short(),
                [this, fault, writes = std::move(writes), callback = std::move(callback)] {
                  std::vector<WriteResult> results;
                  for (const ConditionalWrite& write : writes) {
                    if (fault != TableFault::kNotApplied) {
                      results.push_back(this->database.Apply(write));
                    }
                  }
                  if (fault == TableFault::kNoAnswer) {
                    return;
                  }
                  const bool answered = fault == TableFault::kNone;
                  this->After(this->Short(), [this, answered, results, callback] {
                    this->deliver([answered, results, callback] {
                      callback(answered ? std::optional(results) : std::nullopt,
                               {ErrorCode::kUnknownOutcome, ""});
                    });
                  });
                });
  }

 private:
  // Now and then longer than the time for which a claim is tried.
  Duration Short() {
    const bool slow = this->database.fault_rate > 0 && this->database.random.Unit() < 0.05;
    return this->database.Between(std::chrono::milliseconds(1),
                                  std::chrono::milliseconds(slow ? 4000 : 30));
  }
  void After(Duration delay, std::function<void()> run) {
    this->database.At(this->database.now + delay, std::move(run));
  }

  FaultyDatabase& database;
  Deliver deliver;
};

}  // namespace pimentopin

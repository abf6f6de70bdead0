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

// Fault of one call of the table.
enum class TableFault {
  kNone,
  // Not applied; replies with an error.
  kNotApplied,
  // Applied; replies with an error.
  kReplyLost,
  // Replies with an error at once and is applied up to a minute later.
  kAppliedLate,
  // Applied; never replies.
  kNoReply,
};

// Rows and scheduled events in virtual time, shared by the tables of several hosts.
class FaultyDatabase {
 public:
  explicit FaultyDatabase(std::uint64_t seed) : random(seed) {}

  void ScheduleAt(TimePoint at, std::function<void()> action) {
    this->events.push({at, this->sequence++, std::move(action)});
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    this->now = end;
  }
  Duration RandomDuration(Duration low, Duration high) {
    const auto range = static_cast<std::uint64_t>((high - low).count());
    return low + Duration(static_cast<Duration::rep>(this->random.Below(range + 1)));
  }
  WriteResult Apply(const ConditionalWrite& write) {
    TableRow& row = this->rows[write.key];
    const bool matches = this->ignore_versions || row.version == write.expected_version;
    if (matches) {
      row = {row.version.number + 1, write.value};
    }
    return {matches, row.version};
  }
  // Returns a fault with probability `fault_rate`, all kinds being equally likely.
  TableFault NextFault() {
    if (this->fault_script) {
      return this->fault_script();
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
  std::function<TableFault()> fault_script;
  // Disables the version check: writes apply whatever version they expect.
  bool ignore_versions = false;
  std::uint64_t calls = 0;
  std::uint64_t writes = 0;

 private:
  struct Event {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::function<void()> action;
    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
};

// Table client of one host. `deliver` runs the callbacks, unless the host is paused.
class FaultyTable : public TableStore {
 public:
  using Deliver = std::function<void(std::function<void()>)>;

  FaultyTable(FaultyDatabase& shared_database, Deliver deliver_callback)
      : database(shared_database), deliver(std::move(deliver_callback)) {}

  void Read(const std::string& key, ReadCallback callback) override {
    const TableFault fault = this->database.NextFault();
    ++this->database.calls;
    if (fault == TableFault::kNoReply) {
      return;
    }
    // The row is read at one time and the reply arrives at a later one.
    this->RunAfter(this->ShortDelay(), [this, key, fault, callback = std::move(callback)] {
      const TableRow row = this->database.rows[key];
      const bool replied = fault == TableFault::kNone;
      const Duration delay = this->ShortDelay();
      this->RunAfter(delay, [this, row, replied, callback] {
        this->deliver([row, replied, callback] {
          callback(replied ? std::optional(row) : std::nullopt, {ErrorCode::kUnreachable, ""});
        });
      });
    });
  }

  void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) override {
    const TableFault fault = this->database.NextFault();
    ++this->database.calls;
    this->database.writes += writes.size();
    const bool applied_late = fault == TableFault::kAppliedLate;
    if (applied_late) {
      // The writes of one call are independent and may apply at different times.
      for (ConditionalWrite& write : writes) {
        const Duration delay = this->database.RandomDuration(Duration(0), std::chrono::seconds(60));
        this->RunAfter(delay, [this, write = std::move(write)] { this->database.Apply(write); });
      }
      writes.clear();
    }
    this->RunAfter(this->ShortDelay(),
                   [this, fault, writes = std::move(writes), callback = std::move(callback)] {
                     std::vector<WriteResult> results;
                     for (const ConditionalWrite& write : writes) {
                       if (fault != TableFault::kNotApplied) {
                         results.push_back(this->database.Apply(write));
                       }
                     }
                     if (fault == TableFault::kNoReply) {
                       return;
                     }
                     const bool replied = fault == TableFault::kNone;
                     this->RunAfter(this->ShortDelay(), [this, replied, results, callback] {
                       this->deliver([replied, results, callback] {
                         callback(replied ? std::optional(results) : std::nullopt,
                                  {ErrorCode::kUnknownOutcome, ""});
                       });
                     });
                   });
  }

 private:
  // With faults enabled, some delays are longer than the claim timeout.
  Duration ShortDelay() {
    const bool slow = this->database.fault_rate > 0 && this->database.random.Unit() < 0.05;
    return this->database.RandomDuration(std::chrono::milliseconds(1),
                                         std::chrono::milliseconds(slow ? 4000 : 30));
  }
  void RunAfter(Duration delay, std::function<void()> action) {
    this->database.ScheduleAt(this->database.now + delay, std::move(action));
  }

  FaultyDatabase& database;
  Deliver deliver;
};

}  // namespace pimentopin

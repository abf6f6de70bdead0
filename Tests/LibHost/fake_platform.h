#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// Queues calls until Step() runs one, so that a test controls the interleaving of several
// clients.
class FakeEventQueue {
 public:
  explicit FakeEventQueue(RandomSource& random) : random(random) {}

  void Post(std::function<void()> task) { this->tasks.push_back(std::move(task)); }

  // Runs a randomly chosen task; returns false if there is none.
  bool Step() {
    if (this->tasks.empty()) {
      return false;
    }
    const auto index = static_cast<std::ptrdiff_t>(this->random.Below(this->tasks.size()));
    auto task = std::move(this->tasks[static_cast<std::size_t>(index)]);
    this->tasks.erase(this->tasks.begin() + index);
    task();
    return true;
  }

  void RunAll() {
    while (this->Step()) {
    }
  }

 private:
  RandomSource& random;
  std::vector<std::function<void()>> tasks;
};

// In-memory table with faults drawn from the random source.
class FakeTable : public TableStore {
 public:
  struct FaultRates {
    double read_failure = 0;
    double write_failure = 0;
    // The write takes effect, but its response is lost.
    double response_lost = 0;
    // The write takes effect after its response was reported as lost.
    double late_apply = 0;
  };

  FakeTable(FakeEventQueue& queue, RandomSource& random) : queue(queue), random(random) {}

  void Read(const std::string& key, ReadCallback callback) override {
    this->queue.Post([this, key, callback = std::move(callback)] {
      if (this->random.Unit() < this->rates.read_failure) {
        callback(std::nullopt, this->failure);
        return;
      }
      callback(this->rows[key], Error{});
    });
  }

  void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) override {
    this->queue.Post([this, writes = std::move(writes), callback = std::move(callback)] {
      const double fault = this->random.Unit();
      double bound = this->rates.write_failure;
      if (fault < bound) {
        callback(std::nullopt, this->failure);
        return;
      }
      if (fault < (bound += this->rates.response_lost)) {
        this->Apply(writes);
        callback(std::nullopt, {ErrorCode::kUnknownOutcome, "response lost"});
        return;
      }
      if (fault < (bound += this->rates.late_apply)) {
        this->queue.Post([this, writes] { this->Apply(writes); });
        callback(std::nullopt, {ErrorCode::kUnknownOutcome, "time-out"});
        return;
      }
      callback(this->Apply(writes), Error{});
    });
  }

  FaultRates rates;
  // Error of reads and writes that fail without an effect.
  Error failure{ErrorCode::kUnreachable, "table down"};
  std::map<std::string, TableRow> rows;
  // All values that each row has had, oldest first.
  std::map<std::string, std::vector<std::string>> history;

 private:
  std::vector<WriteResult> Apply(const std::vector<ConditionalWrite>& writes) {
    std::vector<WriteResult> results;
    for (const ConditionalWrite& write : writes) {
      TableRow& row = this->rows[write.key];
      const bool applied = row.version == write.expected_version;
      if (applied) {
        row = {row.version.number + 1, write.value};
        this->history[write.key].push_back(write.value);
      }
      results.push_back({applied, row.version});
    }
    return results;
  }

  FakeEventQueue& queue;
  RandomSource& random;
};

// In-memory object store.
class FakeObjects : public ObjectStore {
 public:
  explicit FakeObjects(FakeEventQueue& queue) : queue(queue) {}

  void Get(const std::string& key, GetCallback callback) override {
    this->queue.Post([this, key, callback = std::move(callback)] {
      const auto found = this->objects.find(key);
      if (this->down) {
        callback(std::nullopt, {ErrorCode::kUnreachable, "object store down"});
      } else if (found == this->objects.end()) {
        callback(std::nullopt, {ErrorCode::kNotFound, "no such object"});
      } else {
        callback(found->second, Error{});
      }
    });
  }

  void PutIfAbsent(const std::string& key, std::string content, PutCallback callback) override {
    this->queue.Post([this, key, content = std::move(content), callback = std::move(callback)] {
      if (this->down) {
        callback(false, {ErrorCode::kUnreachable, "object store down"});
        return;
      }
      this->objects.emplace(key, content);
      callback(true, Error{});
    });
  }

  void List(const std::string& prefix, ListCallback callback) override {
    std::vector<std::string> keys;
    for (const auto& [key, content] : this->objects) {
      if (key.starts_with(prefix)) {
        keys.push_back(key);
      }
    }
    this->queue.Post([keys, callback = std::move(callback)] { callback(keys, Error{}); });
  }

  bool down = false;
  std::map<std::string, std::string> objects;

 private:
  FakeEventQueue& queue;
};

}  // namespace pimentopin

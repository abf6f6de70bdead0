#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// Object store in memory that can be down, lose answers, or answer later.
class MockObjectStore : public ObjectStore {
 public:
  bool is_down = false;
  // The put takes effect, but the caller is told that it failed.
  bool loses_answers = false;
  // Answers wait until Answer() is called.
  bool answers_later = false;
  std::map<std::string, std::string> objects;
  int puts = 0;

  void Get(const std::string& key, GetCallback callback) override {
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
      callback(std::nullopt, {ErrorCode::kNotFound, "no such object"});
      return;
    }
    callback(found->second, {});
  }

  void PutIfAbsent(const std::string& key, std::string content, PutCallback callback) override {
    ++this->puts;
    if (!this->is_down) {
      this->objects.emplace(key, std::move(content));
    }
    const bool stored = !this->is_down && !this->loses_answers;
    const Error error = stored ? Error() : Error{ErrorCode::kUnknownOutcome, "no answer"};
    if (this->answers_later) {
      this->waiting.push_back([callback, stored, error] { callback(stored, error); });
      return;
    }
    callback(stored, error);
  }

  void List(const std::string& prefix, ListCallback callback) override {
    std::vector<std::string> keys;
    for (const auto& [key, content] : this->objects) {
      if (key.starts_with(prefix)) {
        keys.push_back(key);
      }
    }
    callback(keys, {});
  }

  void Answer() {
    for (const auto& answer : std::exchange(this->waiting, {})) {
      answer();
    }
  }

 private:
  std::vector<std::function<void()>> waiting;
};

}  // namespace pimentopin

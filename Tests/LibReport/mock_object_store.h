#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// In-memory object store that can be unavailable, lose responses or delay them.
class MockObjectStore : public ObjectStore {
 public:
  bool is_down = false;
  // Puts take effect but report a failure.
  bool loses_responses = false;
  // Callbacks of puts are delayed until DeliverResponses() is called.
  bool delays_responses = false;
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
    const bool stored = !this->is_down && !this->loses_responses;
    const Error error = stored ? Error() : Error{ErrorCode::kUnknownOutcome, "no response"};
    if (this->delays_responses) {
      this->delayed_responses.push_back([callback, stored, error] { callback(stored, error); });
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

  void DeliverResponses() {
    for (const auto& deliver : std::exchange(this->delayed_responses, {})) {
      deliver();
    }
  }

 private:
  std::vector<std::function<void()>> delayed_responses;
};

}  // namespace pimentopin

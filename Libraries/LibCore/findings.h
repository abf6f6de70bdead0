#pragma once

#include <string>
#include <vector>

namespace pimentopin {

// One error in an input. `place` is a JSON pointer, a line and column, a
// command-line flag or an environment variable.
struct Finding {
  std::string place;
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// Collects the errors of an input, so that all of them are reported together.
class Findings {
 public:
  void Add(std::string place, std::string message) {
    this->entries.push_back({std::move(place), std::move(message)});
  }
  bool empty() const { return this->entries.empty(); }
  const std::vector<Finding>& all() const { return this->entries; }

  // One line per finding: "place: message".
  std::string ToText() const;

 private:
  std::vector<Finding> entries;
};

}  // namespace pimentopin

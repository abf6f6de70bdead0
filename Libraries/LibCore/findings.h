#pragma once

#include <string>
#include <vector>

namespace pimentopin {

// One fault in an input, with the place where it was found (a JSON pointer, a
// flag, an environment variable).
struct Finding {
  std::string place;
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// Collects the faults of an input, so that all are reported together.
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

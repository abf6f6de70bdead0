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
  // Adds a remark on an input that is accepted, such as a value that this version does not know.
  void AddNote(std::string place, std::string message) {
    this->note_entries.push_back({std::move(place), std::move(message)});
  }
  // True if there are no errors; there may be notes.
  bool empty() const { return this->entries.empty(); }
  const std::vector<Finding>& all() const { return this->entries; }
  const std::vector<Finding>& notes() const { return this->note_entries; }

  // One line per error: "place: message".
  std::string ToText() const;
  // The same for the notes.
  std::string NotesToText() const;

 private:
  std::vector<Finding> entries;
  std::vector<Finding> note_entries;
};

}  // namespace pimentopin

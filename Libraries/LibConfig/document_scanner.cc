#include "Libraries/LibConfig/document_scanner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace pimentopin {
namespace {

constexpr std::size_t kMaxTokenBytes = 128;
constexpr std::size_t kMaxSyntaxMessageBytes = 200;

std::string LineAndColumn(std::string_view text, std::size_t position) {
  // The parser counts bytes read, so the offending byte is the last one read.
  const std::size_t offset = std::min(position == 0 ? 0 : position - 1, text.size());
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(offset - line_start + 1);
}

// The exception text starts with an error id and the place, which are reported separately, and
// may quote bytes that are not UTF-8.
std::string SyntaxMessage(std::string_view what) {
  const std::size_t start = what.find(": ");
  std::string message(start == std::string_view::npos ? what : what.substr(start + 2));
  std::replace_if(
      message.begin(), message.end(),
      [](char byte) {
        const auto value = static_cast<unsigned char>(byte);
        return value < 0x20 || value > 0x7e;
      },
      '?');
  return Shortened(message, kMaxSyntaxMessageBytes);
}

class Scanner : public nlohmann::json_sax<nlohmann::json> {
 public:
  Scanner(std::string_view document, std::size_t depth_limit, const FaultReporter& reporter)
      : text(document), max_depth(depth_limit), report(reporter) {}

  bool null() override { return this->OnValue(); }
  bool boolean(bool /*value*/) override { return this->OnValue(); }
  bool number_integer(number_integer_t /*value*/) override { return this->OnValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return this->OnValue(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
    return this->OnValue();
  }
  bool string(string_t& /*value*/) override { return this->OnValue(); }
  bool binary(binary_t& /*value*/) override { return this->OnValue(); }
  bool start_object(std::size_t /*elements*/) override { return this->Enter(); }
  bool start_array(std::size_t /*elements*/) override { return this->Enter(); }
  bool end_object() override { return this->Leave(); }
  bool end_array() override { return this->Leave(); }

  bool key(string_t& name) override {
    Level& level = this->levels.back();
    level.token = name;
    if (!level.keys.insert(name).second) {
      this->report(ChildPointer(this->Pointer(this->levels.size() - 1), name),
                   "key occurs more than once in this object");
    }
    return true;
  }

  bool parse_error(std::size_t position,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    this->report(LineAndColumn(this->text, position), SyntaxMessage(error.what()));
    return false;
  }

 private:
  struct Level {
    std::size_t index = 0;
    std::string token;
    std::set<std::string> keys;
  };

  // Steps on in an array; in an object the next key replaces the token.
  bool OnValue() {
    if (!this->levels.empty()) {
      ++this->levels.back().index;
    }
    return true;
  }

  bool Enter() {
    if (this->levels.size() >= this->max_depth) {
      this->report(this->Pointer(this->levels.size()),
                   "nested more than " + std::to_string(this->max_depth) + " levels deep");
      return false;
    }
    this->levels.emplace_back();
    return true;
  }

  bool Leave() {
    this->levels.pop_back();
    return this->OnValue();
  }

  std::string Pointer(std::size_t depth) const {
    std::string pointer;
    for (std::size_t level = 0; level < depth; ++level) {
      const Level& entry = this->levels[level];
      pointer =
          ChildPointer(pointer, entry.keys.empty() ? std::to_string(entry.index) : entry.token);
    }
    return pointer;
  }

  std::string_view text;
  std::size_t max_depth;
  const FaultReporter& report;
  std::vector<Level> levels;
};

}  // namespace

bool ScanDocument(std::string_view json, std::size_t max_depth, const FaultReporter& report) {
  Scanner scanner(json, max_depth, report);
  return nlohmann::json::sax_parse(json.begin(), json.end(), &scanner);
}

std::string ChildPointer(std::string_view pointer, std::string_view token) {
  std::string child(pointer);
  child += '/';
  for (const char byte : Shortened(token, kMaxTokenBytes)) {
    if (byte == '~') {
      child += "~0";
    } else if (byte == '/') {
      child += "~1";
    } else {
      child += byte;
    }
  }
  return child;
}

std::string Shortened(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) {
    return std::string(text);
  }
  std::size_t length = max_bytes;
  while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xc0) == 0x80) {
    --length;
  }
  return std::string(text.substr(0, length)) + "...";
}

}  // namespace pimentopin

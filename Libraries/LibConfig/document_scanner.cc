#include "Libraries/LibConfig/document_scanner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace pimentopin {
namespace {

constexpr std::size_t kMaxTokenBytes = 128;
constexpr std::size_t kMaxSyntaxMessageBytes = 200;

std::string LineAndColumn(std::string_view text, std::size_t bytes_read) {
  // The parser reports the number of bytes read; the last one is the invalid byte.
  const std::size_t offset = std::min(bytes_read == 0 ? 0 : bytes_read - 1, text.size());
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(offset - line_start + 1);
}

// Removes the error id and position from the start of the exception text, since the position is
// reported separately, and replaces bytes that are not printable ASCII: the text may quote bytes
// that are not valid UTF-8.
std::string SyntaxMessage(std::string_view exception_text) {
  const std::size_t prefix_end = exception_text.find(": ");
  std::string message(prefix_end == std::string_view::npos ? exception_text
                                                           : exception_text.substr(prefix_end + 2));
  std::replace_if(
      message.begin(), message.end(),
      [](char byte) {
        const auto value = static_cast<unsigned char>(byte);
        return value < 0x20 || value > 0x7e;
      },
      '?');
  return Truncate(message, kMaxSyntaxMessageBytes);
}

class Scanner : public nlohmann::json_sax<nlohmann::json> {
 public:
  Scanner(std::string_view document, std::size_t depth_limit, const ErrorReporter& reporter)
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
  bool start_object(std::size_t /*elements*/) override { return this->EnterContainer(); }
  bool start_array(std::size_t /*elements*/) override { return this->EnterContainer(); }
  bool end_object() override { return this->LeaveContainer(); }
  bool end_array() override { return this->LeaveContainer(); }

  bool key(string_t& name) override {
    Level& level = this->levels.back();
    level.token = name;
    if (!level.keys.insert(name).second) {
      this->report(ChildPointer(this->PointerAtDepth(this->levels.size() - 1), name),
                   "key occurs more than once in this object");
    }
    return true;
  }

  bool parse_error(std::size_t bytes_read,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    this->report(LineAndColumn(this->text, bytes_read), SyntaxMessage(error.what()));
    return false;
  }

 private:
  struct Level {
    std::size_t index = 0;
    std::string token;
    std::set<std::string> keys;
  };

  // Advances the index of an array. In an object the index is unused: the next key replaces the
  // token.
  bool OnValue() {
    if (!this->levels.empty()) {
      ++this->levels.back().index;
    }
    return true;
  }

  bool EnterContainer() {
    if (this->levels.size() >= this->max_depth) {
      this->report(this->PointerAtDepth(this->levels.size()),
                   "nested more than " + std::to_string(this->max_depth) + " levels deep");
      return false;
    }
    this->levels.emplace_back();
    return true;
  }

  bool LeaveContainer() {
    this->levels.pop_back();
    return this->OnValue();
  }

  std::string PointerAtDepth(std::size_t depth) const {
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
  const ErrorReporter& report;
  std::vector<Level> levels;
};

}  // namespace

bool ScanDocument(std::string_view json, std::size_t max_depth, const ErrorReporter& report) {
  Scanner scanner(json, max_depth, report);
  return nlohmann::json::sax_parse(json.begin(), json.end(), &scanner);
}

std::string ChildPointer(std::string_view pointer, std::string_view token) {
  std::string child(pointer);
  child += '/';
  for (const char byte : Truncate(token, kMaxTokenBytes)) {
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

std::string Truncate(std::string_view text, std::size_t max_bytes) {
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

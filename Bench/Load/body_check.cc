#include "Bench/Load/body_check.h"

#include <nlohmann/json.hpp>
#include <string>

#include "Libraries/LibCore/identifiers.h"

namespace pimentopin {
namespace {

constexpr std::uint64_t kLetterCount = 26;

bool IsExpectedFiller(std::string_view bytes, std::string_view request_id) {
  const std::uint64_t offset = StableHash(request_id) % kLetterCount;
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    if (bytes[index] != static_cast<char>('a' + (offset + index) % kLetterCount)) {
      return false;
    }
  }
  return true;
}

// Returns an empty string if the field is missing or is no string.
std::string StringField(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  return field != line.end() && field->is_string() ? field->get<std::string>() : std::string();
}

}  // namespace

bool IsExpectedBody(std::string_view body, const ExpectedBody& expected) {
  const std::size_t line_end = body.find('\n');
  if (line_end == std::string_view::npos || body.size() - line_end - 1 != expected.pattern_size) {
    return false;
  }
  const auto line = nlohmann::json::parse(body.substr(0, line_end), nullptr, false);
  if (!line.is_object() || StringField(line, "service") != expected.service) {
    return false;
  }
  const std::string request_id = StringField(line, "request_id");
  return request_id.starts_with(expected.id_prefix) &&
         IsExpectedFiller(body.substr(line_end + 1), request_id);
}

}  // namespace pimentopin

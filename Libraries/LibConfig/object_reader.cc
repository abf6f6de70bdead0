#include "Libraries/LibConfig/object_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr double kMaxRate = 1e9;

bool IsLowerCaseOrDigit(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= '0' && byte <= '9');
}

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char byte) { return IsLowerCaseOrDigit(byte) || byte == '-'; });
}

}  // namespace

bool IsValidLabelText(std::string_view text) {
  return text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), [](char byte) {
           return IsLowerCaseOrDigit(byte) || (byte >= 'A' && byte <= 'Z') || byte == '-' ||
                  byte == '_' || byte == '.' || byte == '/';
         });
}

ObjectReader::ObjectReader(const json& object, std::string pointer, const ErrorReporter& reporter)
    : value(object), base_pointer(std::move(pointer)), report(reporter) {
  if (!this->value.is_object()) {
    this->report(this->base_pointer,
                 "must be an object, not " + std::string(this->value.type_name()));
  }
}

std::string ObjectReader::FieldPointer(std::string_view field) const {
  return ChildPointer(this->base_pointer, field);
}

void ObjectReader::ReportError(std::string_view field, std::string message) const {
  this->report(this->FieldPointer(field), std::move(message));
}

void ObjectReader::RejectUnknownFields(std::initializer_list<std::string_view> known_fields) const {
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& item : this->value.items()) {
    if (std::find(known_fields.begin(), known_fields.end(), item.key()) == known_fields.end()) {
      this->ReportError(item.key(), "unknown field");
    }
  }
}

const json* ObjectReader::FindField(std::string_view field, Presence presence) const {
  if (!this->value.is_object()) {
    return nullptr;
  }
  const auto found = this->value.find(field);
  if (found != this->value.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    this->ReportError(field, "required field is missing");
  }
  return nullptr;
}

std::optional<std::string> ObjectReader::ReadString(std::string_view field,
                                                    Presence presence) const {
  const json* const found = this->FindField(field, presence);
  if (found == nullptr || !this->CheckType(field, *found, found->is_string(), "a string")) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::string ObjectReader::ReadName(std::string_view field) const {
  const std::optional<std::string> text = this->ReadString(field, Presence::kRequired);
  if (text && !IsValidName(*text)) {
    this->ReportError(field, "'" + Truncate(*text) + "' must match [a-z0-9-]{1,63}");
  }
  return text.value_or("");
}

std::optional<std::int64_t> ObjectReader::ReadInteger(std::string_view field,
                                                      std::int64_t minimum,
                                                      std::int64_t maximum,
                                                      Presence presence) const {
  const json* const found = this->FindField(field, presence);
  if (found == nullptr ||
      !this->CheckType(field, *found, found->is_number_integer(), "an integer")) {
    return std::nullopt;
  }
  const bool exceeds_maximum = found->is_number_unsigned() &&
                               found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
  if (exceeds_maximum || found->get<std::int64_t>() < minimum ||
      found->get<std::int64_t>() > maximum) {
    this->ReportError(field, found->dump() + " is outside " + std::to_string(minimum) + " to " +
                                 std::to_string(maximum));
    return std::nullopt;
  }
  return found->get<std::int64_t>();
}

std::uint32_t ObjectReader::ReadUint32(std::string_view field,
                                       std::int64_t minimum,
                                       std::int64_t maximum) const {
  return static_cast<std::uint32_t>(
      this->ReadInteger(field, minimum, maximum, Presence::kRequired).value_or(minimum));
}

std::optional<std::uint32_t> ObjectReader::ReadOptionalUint32(std::string_view field,
                                                              std::int64_t minimum,
                                                              std::int64_t maximum) const {
  const std::optional<std::int64_t> value =
      this->ReadInteger(field, minimum, maximum, Presence::kOptional);
  return value ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

double ObjectReader::ReadRate(std::string_view field) const {
  const json* const found = this->FindField(field, Presence::kOptional);
  if (found == nullptr || !this->CheckType(field, *found, found->is_number(), "a number")) {
    return 0;
  }
  const auto rate = found->get<double>();
  if (!(rate >= 0) || rate > kMaxRate) {
    this->ReportError(field, found->dump() + " is outside 0 to 1e9");
    return 0;
  }
  return rate;
}

bool ObjectReader::ReadBool(std::string_view field, Presence presence) const {
  const json* const found = this->FindField(field, presence);
  return found != nullptr && this->CheckType(field, *found, found->is_boolean(), "true or false") &&
         found->get<bool>();
}

void ObjectReader::ForEachElement(
    std::string_view field,
    Presence presence,
    const std::function<void(const json&, const std::string&)>& visit) const {
  const json* const found = this->FindField(field, presence);
  if (found == nullptr || !this->CheckType(field, *found, found->is_array(), "an array")) {
    return;
  }
  const std::string array_pointer = this->FieldPointer(field);
  for (std::size_t index = 0; index < found->size(); ++index) {
    visit((*found)[index], ChildPointer(array_pointer, std::to_string(index)));
  }
}

std::vector<std::string> ObjectReader::ReadUniqueStrings(
    std::string_view field,
    const std::function<void(const std::string&, const std::string&)>& check) const {
  std::vector<std::string> strings;
  std::set<std::string> seen;
  this->ForEachElement(
      field, Presence::kOptional, [&](const json& element, const std::string& json_pointer) {
        if (!element.is_string()) {
          this->report(json_pointer, "must be a string, not " + std::string(element.type_name()));
          return;
        }
        strings.push_back(element.get<std::string>());
        if (!seen.insert(strings.back()).second) {
          this->report(json_pointer, "'" + Truncate(strings.back()) + "' is listed more than once");
        }
        check(strings.back(), json_pointer);
      });
  const json* const found = this->FindField(field, Presence::kOptional);
  if (found != nullptr && found->is_array() && found->empty()) {
    this->ReportError(field, "must not be empty; leave the field out to mean all");
  }
  return strings;
}

Labels ObjectReader::ReadLabels(std::string_view field) const {
  Labels labels;
  const json* const found = this->FindField(field, Presence::kOptional);
  if (found == nullptr || !this->CheckType(field, *found, found->is_object(), "an object")) {
    return labels;
  }
  for (const auto& item : found->items()) {
    const std::string json_pointer = ChildPointer(this->FieldPointer(field), item.key());
    if (item.key().empty() || !IsValidLabelText(item.key())) {
      this->report(json_pointer, "label key must match [A-Za-z0-9._/-]{1,63}");
    }
    if (!item.value().is_string()) {
      this->report(json_pointer, "must be a string, not " + std::string(item.value().type_name()));
    } else if (!IsValidLabelText(item.value().get_ref<const std::string&>())) {
      this->report(json_pointer, "label value must match [A-Za-z0-9._/-]{0,63}");
    } else {
      labels.emplace(item.key(), item.value().get<std::string>());
    }
  }
  return labels;
}

bool ObjectReader::CheckType(std::string_view field,
                             const json& found,
                             bool matches,
                             const char* expected_type) const {
  if (!matches) {
    this->ReportError(
        field, "must be " + std::string(expected_type) + ", not " + std::string(found.type_name()));
  }
  return matches;
}

}  // namespace pimentopin

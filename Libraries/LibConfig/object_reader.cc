#include "Libraries/LibConfig/object_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace pimentopin {
namespace {

using nlohmann::json;

bool IsLowerOrDigit(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= '0' && byte <= '9');
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char byte) { return IsLowerOrDigit(byte) || byte == '-'; });
}

}  // namespace

bool IsLabelText(std::string_view text) {
  return text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), [](char byte) {
           return IsLowerOrDigit(byte) || (byte >= 'A' && byte <= 'Z') || byte == '-' ||
                  byte == '_' || byte == '.' || byte == '/';
         });
}

ObjectReader::ObjectReader(const json& object, std::string place, const FaultReporter& reporter)
    : value(object), location(std::move(place)), report(reporter) {
  if (!this->value.is_object()) {
    this->report(this->location, "must be an object, not " + std::string(this->value.type_name()));
  }
}

std::string ObjectReader::PlaceOf(std::string_view field) const {
  return ChildPointer(this->location, field);
}

void ObjectReader::Report(std::string_view field, std::string message) const {
  this->report(this->PlaceOf(field), std::move(message));
}

void ObjectReader::AllowOnly(std::initializer_list<std::string_view> fields) const {
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& item : this->value.items()) {
    if (std::find(fields.begin(), fields.end(), item.key()) == fields.end()) {
      this->Report(item.key(), "unknown field");
    }
  }
}

const json* ObjectReader::Field(std::string_view field, Presence presence) const {
  if (!this->value.is_object()) {
    return nullptr;
  }
  const auto found = this->value.find(field);
  if (found != this->value.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    this->Report(field, "required field is missing");
  }
  return nullptr;
}

std::optional<std::string> ObjectReader::Text(std::string_view field, Presence presence) const {
  const json* const found = this->Field(field, presence);
  if (found == nullptr || !this->HasType(field, *found, found->is_string(), "a string")) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::string ObjectReader::Name(std::string_view field) const {
  const std::optional<std::string> text = this->Text(field, Presence::kRequired);
  if (text && !IsName(*text)) {
    this->Report(field, "'" + Shortened(*text) + "' must match [a-z0-9-]{1,63}");
  }
  return text.value_or("");
}

std::optional<std::int64_t> ObjectReader::Integer(std::string_view field,
                                                  std::int64_t minimum,
                                                  std::int64_t maximum,
                                                  Presence presence) const {
  const json* const found = this->Field(field, presence);
  if (found == nullptr || !this->HasType(field, *found, found->is_number_integer(), "an integer")) {
    return std::nullopt;
  }
  const bool above_signed = found->is_number_unsigned() &&
                            found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
  if (above_signed || found->get<std::int64_t>() < minimum ||
      found->get<std::int64_t>() > maximum) {
    this->Report(field, found->dump() + " is outside " + std::to_string(minimum) + " to " +
                            std::to_string(maximum));
    return std::nullopt;
  }
  return found->get<std::int64_t>();
}

std::uint32_t ObjectReader::Count(std::string_view field,
                                  std::int64_t minimum,
                                  std::int64_t maximum) const {
  return static_cast<std::uint32_t>(
      this->Integer(field, minimum, maximum, Presence::kRequired).value_or(minimum));
}

bool ObjectReader::Boolean(std::string_view field, Presence presence) const {
  const json* const found = this->Field(field, presence);
  return found != nullptr && this->HasType(field, *found, found->is_boolean(), "true or false") &&
         found->get<bool>();
}

void ObjectReader::Elements(
    std::string_view field,
    Presence presence,
    const std::function<void(const json&, const std::string&)>& visit) const {
  const json* const found = this->Field(field, presence);
  if (found == nullptr || !this->HasType(field, *found, found->is_array(), "an array")) {
    return;
  }
  const std::string array_place = this->PlaceOf(field);
  for (std::size_t index = 0; index < found->size(); ++index) {
    visit((*found)[index], ChildPointer(array_place, std::to_string(index)));
  }
}

std::vector<std::string> ObjectReader::DistinctStrings(
    std::string_view field,
    const std::function<void(const std::string&, const std::string&)>& check) const {
  std::vector<std::string> strings;
  std::set<std::string> seen;
  this->Elements(field, Presence::kOptional, [&](const json& element, const std::string& place) {
    if (!element.is_string()) {
      this->report(place, "must be a string, not " + std::string(element.type_name()));
      return;
    }
    strings.push_back(element.get<std::string>());
    if (!seen.insert(strings.back()).second) {
      this->report(place, "'" + Shortened(strings.back()) + "' is listed more than once");
    }
    check(strings.back(), place);
  });
  const json* const found = this->Field(field, Presence::kOptional);
  if (found != nullptr && found->is_array() && found->empty()) {
    this->Report(field, "must not be empty; leave the field out to mean all");
  }
  return strings;
}

Labels ObjectReader::LabelMap(std::string_view field) const {
  Labels labels;
  const json* const found = this->Field(field, Presence::kOptional);
  if (found == nullptr || !this->HasType(field, *found, found->is_object(), "an object")) {
    return labels;
  }
  for (const auto& item : found->items()) {
    const std::string place = ChildPointer(this->PlaceOf(field), item.key());
    if (item.key().empty() || !IsLabelText(item.key())) {
      this->report(place, "label key must match [A-Za-z0-9._/-]{1,63}");
    }
    if (!item.value().is_string()) {
      this->report(place, "must be a string, not " + std::string(item.value().type_name()));
    } else if (!IsLabelText(item.value().get_ref<const std::string&>())) {
      this->report(place, "label value must match [A-Za-z0-9._/-]{0,63}");
    } else {
      labels.emplace(item.key(), item.value().get<std::string>());
    }
  }
  return labels;
}

bool ObjectReader::HasType(std::string_view field,
                           const json& found,
                           bool matches,
                           const char* wanted) const {
  if (!matches) {
    this->Report(field,
                 "must be " + std::string(wanted) + ", not " + std::string(found.type_name()));
  }
  return matches;
}

}  // namespace pimentopin

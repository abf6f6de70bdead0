#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibConfig/document_scanner.h"
#include "Libraries/LibConfig/selector.h"

namespace pimentopin {

inline constexpr std::size_t kMaxNameBytes = 63;

// Returns true if the text is valid as a label value. A label key must also be
// non-empty.
bool IsValidLabelText(std::string_view text);

enum class Presence { kRequired, kOptional };

// Reads the fields of one JSON object. Each read reports its own errors and
// returns a default value after an error, so that one pass finds all errors.
class ObjectReader {
 public:
  // `pointer` is the JSON pointer of the object in the document. The object and
  // the reporter must outlive the reader.
  ObjectReader(const nlohmann::json& object, std::string pointer, const ErrorReporter& reporter);

  const std::string& json_pointer() const { return this->base_pointer; }
  // JSON pointer of a field of this object.
  std::string FieldPointer(std::string_view field) const;
  void ReportError(std::string_view field, std::string message) const;

  void RejectUnknownFields(std::initializer_list<std::string_view> known_fields) const;
  // Null if absent, which is an error for a required field.
  const nlohmann::json* FindField(std::string_view field, Presence presence) const;
  std::optional<std::string> ReadString(std::string_view field, Presence presence) const;
  std::string ReadName(std::string_view field) const;
  std::optional<std::int64_t> ReadInteger(std::string_view field,
                                          std::int64_t minimum,
                                          std::int64_t maximum,
                                          Presence presence) const;
  // Reads a required integer. `maximum` must fit into 32 bits.
  std::uint32_t ReadUint32(std::string_view field,
                           std::int64_t minimum,
                           std::int64_t maximum) const;
  // The same, for an optional one.
  std::optional<std::uint32_t> ReadOptionalUint32(std::string_view field,
                                                  std::int64_t minimum,
                                                  std::int64_t maximum) const;
  // Reads an optional number of 0 or more; 0 if it is absent.
  double ReadRate(std::string_view field) const;
  bool ReadBool(std::string_view field, Presence presence) const;
  // Calls `visit` with each element of an array and its JSON pointer.
  void ForEachElement(
      std::string_view field,
      Presence presence,
      const std::function<void(const nlohmann::json&, const std::string&)>& visit) const;
  // Reads an optional list of strings without duplicates. An empty list is an
  // error: absence means "all", so a template that renders no entries would
  // otherwise widen a rule.
  std::vector<std::string> ReadUniqueStrings(
      std::string_view field,
      const std::function<void(const std::string&, const std::string&)>& check) const;
  Labels ReadLabels(std::string_view field) const;

 private:
  bool CheckType(std::string_view field,
                 const nlohmann::json& found,
                 bool matches,
                 const char* expected_type) const;

  const nlohmann::json& value;
  std::string base_pointer;
  const ErrorReporter& report;
};

}  // namespace pimentopin

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

// True for a label's value, and for its key unless it is empty.
bool IsLabelText(std::string_view text);

enum class Presence { kRequired, kOptional };

// One JSON object with its place. Each read reports its own faults and returns
// a neutral value after one, so that reading goes on to the next fault.
class ObjectReader {
 public:
  // Object and reporter must outlive the reader.
  ObjectReader(const nlohmann::json& object, std::string place, const FaultReporter& reporter);

  const std::string& place() const { return this->location; }
  std::string PlaceOf(std::string_view field) const;
  void Report(std::string_view field, std::string message) const;

  void AllowOnly(std::initializer_list<std::string_view> fields) const;
  // Null if absent; absence of a required field is a fault.
  const nlohmann::json* Field(std::string_view field, Presence presence) const;
  std::optional<std::string> Text(std::string_view field, Presence presence) const;
  std::string Name(std::string_view field) const;
  std::optional<std::int64_t> Integer(std::string_view field,
                                      std::int64_t minimum,
                                      std::int64_t maximum,
                                      Presence presence) const;
  // A required whole number; `maximum` fits 32 bits.
  std::uint32_t Count(std::string_view field, std::int64_t minimum, std::int64_t maximum) const;
  bool Boolean(std::string_view field, Presence presence) const;
  // Calls `visit` with each element of an array and its place.
  void Elements(std::string_view field,
                Presence presence,
                const std::function<void(const nlohmann::json&, const std::string&)>& visit) const;
  // A list of distinct strings. An empty list is a fault: absence means "all",
  // and a template that lost its entries must not widen a rule.
  std::vector<std::string> DistinctStrings(
      std::string_view field,
      const std::function<void(const std::string&, const std::string&)>& check) const;
  Labels LabelMap(std::string_view field) const;

 private:
  bool HasType(std::string_view field,
               const nlohmann::json& found,
               bool matches,
               const char* wanted) const;

  const nlohmann::json& value;
  std::string location;
  const FaultReporter& report;
};

}  // namespace pimentopin

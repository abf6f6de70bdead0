#include "Bench/Load/load_plan.h"

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "Libraries/LibConfig/object_reader.h"

namespace pimentopin {
namespace {

void RejectUnknownFields(const nlohmann::json& object,
                         std::initializer_list<std::string_view> known_fields,
                         const std::string& json_pointer,
                         Findings& findings) {
  const ErrorReporter report = [&findings](std::string place, std::string message) {
    findings.Add(std::move(place), std::move(message));
  };
  ObjectReader(object, json_pointer, report).RejectUnknownFields(known_fields);
}

LoadStream ReadStream(const nlohmann::json& json,
                      const std::string& json_pointer,
                      Findings& findings) {
  LoadStream stream;
  try {
    stream.service = json.at("service").get<std::string>();
    stream.name = json.value("name", stream.service);
    stream.callers = json.at("callers").get<std::vector<std::string>>();
    stream.method = json.value("method", stream.method);
    stream.path = json.value("path", stream.path);
    stream.rate_per_s = json.at("rate_per_s").get<double>();
    stream.pattern_size = json.value("size", stream.pattern_size);
    stream.is_long = json.value("long", false);
    stream.distinct_paths = json.value("documents", stream.distinct_paths);
    stream.sends_idempotency_key = json.value("keyed", false);
    stream.duplicate_share = json.value("resend_share", 0.0);
    stream.deadline_ms = json.value("deadline_ms", stream.deadline_ms);
  } catch (const nlohmann::json::exception& error) {
    findings.Add(json_pointer, error.what());
    return stream;
  }
  RejectUnknownFields(json,
                      {"name", "service", "callers", "method", "path", "rate_per_s", "size", "long",
                       "documents", "keyed", "resend_share", "deadline_ms"},
                      json_pointer, findings);
  if (stream.callers.empty()) {
    findings.Add(json_pointer + "/callers", "must name at least one caller");
  }
  if (stream.rate_per_s <= 0) {
    findings.Add(json_pointer + "/rate_per_s", "must be greater than zero");
  }
  return stream;
}

}  // namespace

std::optional<LoadPlan> ReadLoadPlan(std::string_view json, Findings& findings) {
  const auto document = nlohmann::json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("streams") || !document["streams"].is_array()) {
    findings.Add("", "must be a JSON object with an array 'streams'");
    return std::nullopt;
  }
  RejectUnknownFields(document, {"streams"}, "", findings);
  LoadPlan plan;
  for (std::size_t index = 0; index < document["streams"].size(); ++index) {
    plan.streams.push_back(
        ReadStream(document["streams"][index], "/streams/" + std::to_string(index), findings));
  }
  return findings.empty() ? std::optional(std::move(plan)) : std::nullopt;
}

}  // namespace pimentopin

#include "Bench/Load/load_plan.h"

#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

LoadStream ReadStream(const nlohmann::json& json, const std::string& place, Findings& findings) {
  LoadStream stream;
  try {
    stream.service = json.at("service").get<std::string>();
    stream.name = json.value("name", stream.service);
    stream.callers = json.at("callers").get<std::vector<std::string>>();
    stream.method = json.value("method", stream.method);
    stream.path = json.value("path", stream.path);
    stream.rate_per_s = json.at("rate_per_s").get<double>();
    stream.size = json.value("size", stream.size);
    stream.is_long = json.value("long", false);
    stream.documents = json.value("documents", stream.documents);
    stream.keyed = json.value("keyed", false);
    stream.resend_share = json.value("resend_share", 0.0);
    stream.deadline_ms = json.value("deadline_ms", stream.deadline_ms);
  } catch (const nlohmann::json::exception& error) {
    findings.Add(place, error.what());
    return stream;
  }
  if (stream.callers.empty()) {
    findings.Add(place + "/callers", "names no caller");
  }
  if (stream.rate_per_s <= 0) {
    findings.Add(place + "/rate_per_s", "must be above zero");
  }
  return stream;
}

}  // namespace

std::optional<LoadPlan> ReadLoadPlan(std::string_view json, Findings& findings) {
  const auto document = nlohmann::json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("streams") || !document["streams"].is_array()) {
    findings.Add("", "not a JSON object with an array 'streams'");
    return std::nullopt;
  }
  LoadPlan plan;
  for (std::size_t index = 0; index < document["streams"].size(); ++index) {
    plan.streams.push_back(
        ReadStream(document["streams"][index], "/streams/" + std::to_string(index), findings));
  }
  return findings.empty() ? std::optional(std::move(plan)) : std::nullopt;
}

}  // namespace pimentopin

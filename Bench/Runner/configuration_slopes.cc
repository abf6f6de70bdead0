#include "Bench/Runner/configuration_slopes.h"

#include <fmt/format.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "Libraries/LibConfig/configuration_reader.h"

namespace pimentopin::bench {
namespace {

using nlohmann::json;

constexpr std::size_t kEntryCounts[] = {500, 2000, 8000};
// Above the production limit, which keeps a document within one frame: the largest
// documents measured here exceed it.
constexpr std::size_t kMaxDocumentBytes = 64 << 20;

json BaseDocument() {
  return {
      {"organisations", json::array({{{"name", "org"}, {"labels", {{"kind", "tenant"}}}}})},
      {"callers",
       json::array({{{"name", "caller"}, {"organisation", "org"}, {"labels", json::object()}}})},
      {"services", json::array({{{"name", "service"},
                                 {"floor_slots", 1},
                                 {"deadline_ms", 1000},
                                 {"queue_limit", 100}}})},
      {"targets", json::array({{{"name", "first"},
                                {"service", "service"},
                                {"address", "127.0.0.1:80"},
                                {"domain", "domain-a"},
                                {"slots", 3},
                                {"connections", 300},
                                {"labels", json::object()},
                                {"leaving", false}}})},
      {"access", json::array({{{"callers", json::object()}, {"targets", json::object()}}})},
      {"work", json::array()}};
}

void AddTarget(json& document, std::size_t index) {
  document["targets"].push_back(
      {{"name", fmt::format("target-{}", index)},
       {"service", "service"},
       {"address", fmt::format("127.1.{}.{}:80", index / 250, index % 250)},
       {"domain", fmt::format("domain-{}", index % 8)},
       {"slots", 3},
       {"connections", 300},
       {"labels", {{"tier", "stock"}}},
       {"leaving", false}});
}

void AddOrganisation(json& document, std::size_t index) {
  const std::string name = fmt::format("organisation-{}", index);
  document["organisations"].push_back({{"name", name}, {"labels", {{"kind", "tenant"}}}});
  document["callers"].push_back({{"name", fmt::format("caller-{}", index)},
                                 {"organisation", name},
                                 {"labels", json::object()}});
}

void AddRoute(json& document, std::size_t index) {
  document["work"].push_back({{"services", {"service"}},
                              {"methods", {"POST"}},
                              {"path_prefix", fmt::format("/route-{}", index)},
                              {"callers", json::object()},
                              {"idempotent", false},
                              {"deadline_ms", 2000}});
}

struct EntryCost {
  std::vector<SlopePoint> memory;
  std::vector<SlopePoint> parsing;
  std::vector<SlopePoint> document;
};

EntryCost MeasureEntryCost(const std::function<void(json&, std::size_t)>& add_entry) {
  EntryCost cost;
  for (const std::size_t size : kEntryCounts) {
    json document = BaseDocument();
    for (std::size_t index = 0; index < size; ++index) {
      add_entry(document, index);
    }
    const std::string text = document.dump();
    const auto count = static_cast<double>(size);
    const double heap_before = HeapBytes();
    const double cpu_before = ThreadCpuMicroseconds();
    Findings findings;
    const std::optional<Configuration> configuration =
        ReadConfiguration(text, 1, findings, {.max_bytes = kMaxDocumentBytes});
    const double cpu = ThreadCpuMicroseconds() - cpu_before;
    if (!configuration) {
      throw std::runtime_error("the sample document is not valid: " + findings.ToText());
    }
    cost.memory.push_back({count, HeapBytes() - heap_before});
    cost.parsing.push_back({count, cpu});
    cost.document.push_back({count, static_cast<double>(text.size())});
  }
  return cost;
}

}  // namespace

std::vector<Slope> MeasureConfigurationSlopes() {
  std::vector<Slope> slopes;
  const auto add_entry = [&slopes](const std::string& entry, EntryCost cost) {
    slopes.push_back(FitSlope("configuration memory", entry, "bytes", std::move(cost.memory)));
    slopes.push_back(FitSlope("configuration reading", entry, "cpu us", std::move(cost.parsing)));
    slopes.push_back(FitSlope("configuration document", entry, "bytes", std::move(cost.document)));
  };
  add_entry("target", MeasureEntryCost(AddTarget));
  add_entry("organisation with a caller", MeasureEntryCost(AddOrganisation));
  add_entry("route (work rule)", MeasureEntryCost(AddRoute));
  return slopes;
}

}  // namespace pimentopin::bench

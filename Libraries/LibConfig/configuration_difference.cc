#include "Libraries/LibConfig/configuration_difference.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<DifferenceKind, std::string_view>, 9> kKindNames{{
    {DifferenceKind::kOrganisation, "organisation"},
    {DifferenceKind::kCaller, "caller"},
    {DifferenceKind::kService, "service"},
    {DifferenceKind::kTarget, "target"},
    {DifferenceKind::kAccessRule, "access"},
    {DifferenceKind::kWorkRule, "work"},
    {DifferenceKind::kRoute, "route"},
    {DifferenceKind::kRequestLimits, "request_limits"},
    {DifferenceKind::kKeyUse, "keys"},
}};

std::string_view KindName(DifferenceKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)].second;
}

// An integer if possible; documents of other formats may state fractions of a millisecond.
json JsonMilliseconds(Duration duration) {
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  if (whole == duration) {
    return whole.count();
  }
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string_view OperatorName(SelectorOperator op) {
  switch (op) {
    case SelectorOperator::kIn:
      return "In";
    case SelectorOperator::kNotIn:
      return "NotIn";
    case SelectorOperator::kExists:
      return "Exists";
    case SelectorOperator::kDoesNotExist:
      return "DoesNotExist";
  }
  return "";
}

json SelectorJson(const Selector& selector) {
  json value = json::object();
  if (!selector.match_labels.empty()) {
    value["match_labels"] = selector.match_labels;
  }
  for (const SelectorRequirement& requirement : selector.match_expressions) {
    json expression{{"key", requirement.key}, {"operator", OperatorName(requirement.op)}};
    if (!requirement.values.empty()) {
      expression["values"] = requirement.values;
    }
    value["match_expressions"].push_back(std::move(expression));
  }
  return value;
}

json EntryJson(const Organisation& organisation) {
  json value{{"labels", organisation.labels}};
  for (const ApiKeyDigest& key : organisation.keys) {
    value["key_digests"].push_back(key.Abbreviation());
  }
  if (organisation.priority) {
    value["priority"] = *organisation.priority;
  }
  if (organisation.requests_per_second > 0) {
    value["requests_per_second"] = organisation.requests_per_second;
  }
  if (organisation.burst > 0) {
    value["burst"] = organisation.burst;
  }
  return value;
}

json EntryJson(const Service& service) {
  return {{"floor_slots", service.floor_slots},
          {"floor_share", service.floor_share},
          {"deadline_ms", JsonMilliseconds(service.deadline)},
          {"queue_limit", service.queue_limit},
          {"target_connections", service.target_connections},
          {"health_path", service.health_path}};
}

json EntryJson(const Target& target) {
  return {{"service", target.service},         {"address", target.address},
          {"domain", target.domain},           {"slots", target.slots},
          {"connections", target.connections}, {"labels", target.labels},
          {"leaving", target.leaving},         {"instance", target.instance},
          {"incarnation", target.incarnation}};
}

json EntryJson(const AccessRule& rule) {
  json value{{"callers", SelectorJson(rule.callers)}, {"targets", SelectorJson(rule.targets)}};
  if (!rule.services.empty()) {
    value["services"] = rule.services;
  }
  return value;
}

json EntryJson(const WorkRule& rule) {
  json value{{"callers", SelectorJson(rule.callers)},
             {"path_prefix", rule.path_prefix},
             {"idempotent", rule.idempotent},
             {"long", rule.is_long},
             {"affinity", rule.affinity}};
  if (!rule.services.empty()) {
    value["services"] = rule.services;
  }
  if (!rule.methods.empty()) {
    value["methods"] = rule.methods;
  }
  if (rule.deadline) {
    value["deadline_ms"] = JsonMilliseconds(*rule.deadline);
  }
  return value;
}

json EntryJson(const Route& route) {
  json services = json::array();
  for (const WeightedService& weighted_service : route.services) {
    services.push_back(
        {{"service", weighted_service.service}, {"weight", weighted_service.weight}});
  }
  return {{"host", route.host},
          {"path_prefix", route.path_prefix},
          {"services", std::move(services)},
          {"caller", route.caller},
          {"idempotent", route.idempotent},
          {"bulk", route.bulk},
          {"max_attempts", route.max_attempts},
          {"timeout_ms", JsonMilliseconds(route.timeout)},
          {"latency_objective_ms", JsonMilliseconds(route.latency_objective)},
          {"priority", route.priority},
          {"anonymous", route.anonymous}};
}

json EntryJson(const RequestLimits& limits) {
  return {{"max_header_bytes", limits.max_header_bytes},
          {"max_body_bytes", limits.max_body_bytes},
          {"header_timeout_ms", JsonMilliseconds(limits.header_timeout)},
          {"idle_timeout_ms", JsonMilliseconds(limits.idle_timeout)}};
}

using NamedEntries = std::map<std::string, json>;

template <typename Entry>
NamedEntries EntriesByName(const std::vector<Entry>& entries) {
  NamedEntries named;
  for (const Entry& entry : entries) {
    named.emplace(entry.name, EntryJson(entry));
  }
  return named;
}

NamedEntries KeyUseByName(const Configuration& configuration) {
  return {{"requests", json{{"requires_keys", configuration.requires_keys}}}};
}

// The limits apply to all callers, so they form a single entry.
NamedEntries RequestLimitsByName(const Configuration& configuration) {
  return configuration.request_limits
             ? NamedEntries{{"callers", EntryJson(*configuration.request_limits)}}
             : NamedEntries{};
}

NamedEntries CallersByName(const Configuration& configuration) {
  std::map<std::string_view, const Labels*> labels_by_organisation;
  for (const Organisation& organisation : configuration.organisations) {
    labels_by_organisation.emplace(organisation.name, &organisation.labels);
  }
  NamedEntries named;
  for (const Caller& caller : configuration.callers) {
    Labels own_labels = caller.labels;
    own_labels.erase("organisation");
    if (const auto organisation_labels = labels_by_organisation.find(caller.organisation);
        organisation_labels != labels_by_organisation.end()) {
      std::erase_if(own_labels, [&](const auto& label) {
        const auto inherited_label = organisation_labels->second->find(label.first);
        return inherited_label != organisation_labels->second->end() &&
               inherited_label->second == label.second;
      });
    }
    named.emplace(caller.name, json{{"organisation", caller.organisation}, {"labels", own_labels}});
  }
  return named;
}

class Comparison {
 public:
  void CompareNamedEntries(DifferenceKind kind,
                           const NamedEntries& before,
                           const NamedEntries& after) {
    NamedEntries all_entries = before;
    all_entries.insert(after.begin(), after.end());
    for (const auto& [name, unused] : all_entries) {
      const auto old_entry = before.find(name);
      const auto new_entry = after.find(name);
      this->CompareEntry(kind, name, old_entry == before.end() ? nullptr : &old_entry->second,
                         new_entry == after.end() ? nullptr : &new_entry->second);
    }
  }

  // Rules are ordered and have no names. Skips the equal rules at the start and the end of both
  // lists. The remaining rules are compared in pairs if their numbers are equal; otherwise they
  // are reported as removed and added.
  template <typename Rule>
  void CompareRules(DifferenceKind kind,
                    const std::vector<Rule>& before,
                    const std::vector<Rule>& after) {
    const std::size_t shorter_size = std::min(before.size(), after.size());
    std::size_t common_prefix = 0;
    while (common_prefix < shorter_size && before[common_prefix] == after[common_prefix]) {
      ++common_prefix;
    }
    std::size_t common_suffix = 0;
    while (common_suffix < shorter_size - common_prefix &&
           before[before.size() - 1 - common_suffix] == after[after.size() - 1 - common_suffix]) {
      ++common_suffix;
    }
    const bool compare_pairs = before.size() == after.size();
    for (std::size_t position = common_prefix; position < before.size() - common_suffix;
         ++position) {
      const json old_rule = EntryJson(before[position]);
      const json new_rule = compare_pairs ? EntryJson(after[position]) : json();
      this->CompareEntry(kind, std::to_string(position), &old_rule,
                         compare_pairs ? &new_rule : nullptr);
    }
    for (std::size_t position = common_prefix;
         !compare_pairs && position < after.size() - common_suffix; ++position) {
      const json new_rule = EntryJson(after[position]);
      this->CompareEntry(kind, std::to_string(position), nullptr, &new_rule);
    }
  }

  ConfigurationDifference TakeDifference() { return std::move(this->difference); }

 private:
  void CompareEntry(DifferenceKind kind,
                    const std::string& name,
                    const json* before,
                    const json* after) {
    if (before != nullptr && after != nullptr) {
      this->CompareFields(kind, name, "", *before, *after);
      return;
    }
    this->Add(kind, name, "", before, after);
  }

  void CompareFields(DifferenceKind kind,
                     const std::string& name,
                     const std::string& prefix,
                     const json& before,
                     const json& after) {
    json fields = before;
    fields.update(after);
    for (const auto& item : fields.items()) {
      const json* const old_value = before.contains(item.key()) ? &before[item.key()] : nullptr;
      const json* const new_value = after.contains(item.key()) ? &after[item.key()] : nullptr;
      const bool in_both = old_value != nullptr && new_value != nullptr;
      if (in_both && *old_value == *new_value) {
        continue;
      }
      if (in_both && prefix.empty() && item.key() == "labels") {
        this->CompareFields(kind, name, "labels/", *old_value, *new_value);
        continue;
      }
      this->Add(kind, name, prefix + item.key(), old_value, new_value);
    }
  }

  void Add(DifferenceKind kind,
           const std::string& name,
           const std::string& field,
           const json* before,
           const json* after) {
    this->difference.push_back({.kind = kind,
                                .name = name,
                                .field = field,
                                .before = ToJsonText(before),
                                .after = ToJsonText(after)});
  }

  static std::optional<std::string> ToJsonText(const json* value) {
    return value == nullptr ? std::nullopt : std::optional(value->dump());
  }

  ConfigurationDifference difference;
};

json ParseOptionalJson(const std::optional<std::string>& text) {
  return text ? json::parse(*text) : json();
}

std::optional<std::string> OptionalJsonText(const json& value) {
  return value.is_null() ? std::nullopt : std::optional(value.dump());
}

}  // namespace

ConfigurationDifference CompareConfigurations(const Configuration& before,
                                              const Configuration& after) {
  Comparison comparison;
  comparison.CompareNamedEntries(DifferenceKind::kOrganisation, EntriesByName(before.organisations),
                                 EntriesByName(after.organisations));
  comparison.CompareNamedEntries(DifferenceKind::kCaller, CallersByName(before),
                                 CallersByName(after));
  comparison.CompareNamedEntries(DifferenceKind::kService, EntriesByName(before.services),
                                 EntriesByName(after.services));
  comparison.CompareNamedEntries(DifferenceKind::kTarget, EntriesByName(before.targets),
                                 EntriesByName(after.targets));
  comparison.CompareRules(DifferenceKind::kAccessRule, before.access, after.access);
  comparison.CompareRules(DifferenceKind::kWorkRule, before.work, after.work);
  comparison.CompareNamedEntries(DifferenceKind::kRoute, EntriesByName(before.routes),
                                 EntriesByName(after.routes));
  comparison.CompareNamedEntries(DifferenceKind::kRequestLimits, RequestLimitsByName(before),
                                 RequestLimitsByName(after));
  comparison.CompareNamedEntries(DifferenceKind::kKeyUse, KeyUseByName(before),
                                 KeyUseByName(after));
  return comparison.TakeDifference();
}

std::string DifferenceToText(const ConfigurationDifference& difference) {
  std::string text;
  for (const DifferenceEntry& entry : difference) {
    const std::string subject = std::string(KindName(entry.kind)) + " " + entry.name;
    if (!entry.field.empty()) {
      text += "~ " + subject + " " + entry.field + ": " + entry.before.value_or("(absent)") +
              " -> " + entry.after.value_or("(absent)") + "\n";
    } else if (entry.after) {
      text += "+ " + subject + ": " + *entry.after + "\n";
    } else {
      text += "- " + subject + ": " + entry.before.value_or("") + "\n";
    }
  }
  return text;
}

std::string DifferenceToJson(const ConfigurationDifference& difference) {
  json entries = json::array();
  for (const DifferenceEntry& entry : difference) {
    entries.push_back({{"kind", KindName(entry.kind)},
                       {"name", entry.name},
                       {"field", entry.field},
                       {"before", ParseOptionalJson(entry.before)},
                       {"after", ParseOptionalJson(entry.after)}});
  }
  return entries.dump();
}

std::optional<ConfigurationDifference> DifferenceFromJson(std::string_view text) {
  const json entries = json::parse(text, nullptr, false);
  if (!entries.is_array()) {
    return std::nullopt;
  }
  ConfigurationDifference difference;
  for (const json& value : entries) {
    const auto has_string = [&](const char* field) {
      return value.contains(field) && value[field].is_string();
    };
    if (!value.is_object() || !has_string("kind") || !has_string("name") || !has_string("field")) {
      return std::nullopt;
    }
    const auto* const kind =
        std::find_if(kKindNames.begin(), kKindNames.end(),
                     [&](const auto& entry) { return value["kind"] == entry.second; });
    if (kind == kKindNames.end()) {
      return std::nullopt;
    }
    difference.push_back({.kind = kind->first,
                          .name = value["name"],
                          .field = value["field"],
                          .before = OptionalJsonText(value.value("before", json())),
                          .after = OptionalJsonText(value.value("after", json()))});
  }
  return difference;
}

}  // namespace pimentopin

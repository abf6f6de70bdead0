#include "Libraries/LibConfig/configuration_reader.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "Libraries/LibConfig/document_scanner.h"
#include "Libraries/LibConfig/object_reader.h"
#include "Libraries/LibConfig/unique_keys.h"
#include "Libraries/LibCore/socket_address.h"

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxPathPrefixBytes = 1024;
constexpr std::int64_t kMaxSlots = 1024;
constexpr std::int64_t kMaxConnections = 65535;
constexpr std::int64_t kMaxFloorSlots = 1'000'000;
constexpr std::int64_t kMaxQueueLimit = 100'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxAttempts = 16;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxWeight = 1'000'000;
// Label key that holds the name of a caller's organisation.
constexpr std::string_view kOrganisationLabelKey = "organisation";

bool IsValidMethod(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char byte) { return (byte >= 'A' && byte <= 'Z') || byte == '-'; });
}

// Collects the names of one kind of entry and reports duplicates and hash collisions.
class UniqueNames {
 public:
  explicit UniqueNames(const ErrorReporter& reporter) : report(reporter) {}

  void Add(const std::string& name, const std::string& json_pointer) {
    if (name.empty()) {
      return;
    }
    const auto [first_use, inserted] = this->pointers_by_name.emplace(name, json_pointer);
    if (!inserted) {
      this->report(json_pointer,
                   "'" + Truncate(name) + "' is already used at " + first_use->second);
      return;
    }
    const auto [same_id, has_new_id] = this->names_by_id.emplace(StableHash(name), name);
    if (!has_new_id) {
      this->report(json_pointer, "the id of '" + Truncate(name) + "' collides with the id of '" +
                                     Truncate(same_id->second) + "'; choose another name");
    }
  }

  bool Contains(const std::string& name) const { return this->pointers_by_name.contains(name); }

 private:
  const ErrorReporter& report;
  std::map<std::string, std::string> pointers_by_name;
  std::map<std::uint64_t, std::string> names_by_id;
};

class DocumentReader {
 public:
  DocumentReader(const ErrorReporter& reporter, std::uint64_t revision)
      : report(reporter),
        organisation_names(reporter),
        caller_names(reporter),
        service_names(reporter),
        target_names(reporter),
        target_addresses(reporter),
        route_names(reporter),
        route_keys(reporter),
        unique_keys(reporter) {
    this->configuration.revision = revision;
  }

  Configuration Read(const json& document) {
    const ObjectReader root(document, "", this->report);
    root.RejectUnknownFields({"organisations", "callers", "services", "targets", "access", "work",
                              "routes", "request_limits", "requires_keys"});
    this->configuration.requires_keys = root.ReadBool("requires_keys", Presence::kOptional);
    // Names are read before the entries that refer to them.
    root.ForEachElement("organisations", Presence::kRequired,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadOrganisation(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("callers", Presence::kRequired,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadCaller(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("services", Presence::kRequired,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadService(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("targets", Presence::kRequired,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadTarget(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("access", Presence::kRequired,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadAccessRule(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("work", Presence::kOptional,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadWorkRule(ObjectReader(value, json_pointer, this->report));
                        });
    root.ForEachElement("routes", Presence::kOptional,
                        [&](const json& value, const std::string& json_pointer) {
                          this->ReadRoute(ObjectReader(value, json_pointer, this->report));
                        });
    if (const json* const limits = root.FindField("request_limits", Presence::kOptional)) {
      this->ReadRequestLimits(
          ObjectReader(*limits, root.FieldPointer("request_limits"), this->report));
    }
    this->CheckServices();
    this->CheckKeyHolders();
    return std::move(this->configuration);
  }

 private:
  struct ServiceCapacity {
    std::string json_pointer;
    std::uint64_t slots = 0;
    bool has_targets = false;
    // False if a target has an invalid number of slots, so that the sum is incomplete.
    bool has_valid_slots = true;
  };

  // An organisation with keys, and where it stands in the document.
  struct KeyHolderPlace {
    std::string organisation;
    std::string json_pointer;
  };

  void ReadRequestLimits(const ObjectReader& reader) {
    reader.RejectUnknownFields(
        {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"});
    this->configuration.request_limits = RequestLimits{
        .max_header_bytes = reader.ReadUint32("max_header_bytes", 1, kMaxHeaderLimitBytes),
        .max_body_bytes = reader.ReadUint32("max_body_bytes", 0, kMaxBodyLimitBytes),
        .header_timeout =
            std::chrono::milliseconds(reader.ReadUint32("header_timeout_ms", 1, kMaxDeadlineMs)),
        .idle_timeout =
            std::chrono::milliseconds(reader.ReadUint32("idle_timeout_ms", 1, kMaxDeadlineMs))};
  }

  void ReadOrganisation(const ObjectReader& reader) {
    reader.RejectUnknownFields(
        {"name", "labels", "key_digests", "priority", "requests_per_second", "burst"});
    Organisation organisation{.name = reader.ReadName("name"),
                              .labels = reader.ReadLabels("labels"),
                              .keys = this->unique_keys.ReadDigests(reader, "key_digests"),
                              .priority = reader.ReadOptionalUint32("priority", 0, kMaxPriority),
                              .requests_per_second = reader.ReadRate("requests_per_second"),
                              .burst = reader.ReadRate("burst")};
    if (!organisation.keys.empty()) {
      this->key_holders.push_back({organisation.name, reader.json_pointer()});
    }
    this->organisation_names.Add(organisation.name, reader.FieldPointer("name"));
    this->RejectOrganisationLabel(reader, organisation.labels);
    this->organisation_labels.emplace(organisation.name, organisation.labels);
    this->configuration.organisations.push_back(std::move(organisation));
  }

  void ReadCaller(const ObjectReader& reader) {
    reader.RejectUnknownFields({"name", "organisation", "labels"});
    Caller caller{.name = reader.ReadName("name"),
                  .organisation = reader.ReadName("organisation"),
                  .labels = reader.ReadLabels("labels")};
    this->caller_names.Add(caller.name, reader.FieldPointer("name"));
    this->CheckReference(caller.organisation, this->organisation_names, "organisation",
                         reader.FieldPointer("organisation"));
    this->RejectOrganisationLabel(reader, caller.labels);
    caller.labels.emplace(kOrganisationLabelKey, caller.organisation);
    // A caller's own label takes precedence over that of its organisation.
    const auto inherited = this->organisation_labels.find(caller.organisation);
    if (inherited != this->organisation_labels.end()) {
      caller.labels.insert(inherited->second.begin(), inherited->second.end());
    }
    this->configuration.callers.push_back(std::move(caller));
  }

  void ReadService(const ObjectReader& reader) {
    reader.RejectUnknownFields({"name", "floor_slots", "deadline_ms", "queue_limit"});
    Service service{
        .name = reader.ReadName("name"),
        .floor_slots = reader.ReadUint32("floor_slots", 0, kMaxFloorSlots),
        .deadline = std::chrono::milliseconds(reader.ReadUint32("deadline_ms", 1, kMaxDeadlineMs)),
        .queue_limit = reader.ReadUint32("queue_limit", 0, kMaxQueueLimit)};
    this->service_names.Add(service.name, reader.FieldPointer("name"));
    this->service_capacities.emplace(service.name,
                                     ServiceCapacity{.json_pointer = reader.json_pointer()});
    this->configuration.services.push_back(std::move(service));
  }

  void ReadTarget(const ObjectReader& reader) {
    reader.RejectUnknownFields(
        {"name", "service", "address", "domain", "slots", "connections", "labels", "leaving"});
    const std::optional<std::int64_t> slots =
        reader.ReadInteger("slots", 1, kMaxSlots, Presence::kRequired);
    const std::optional<std::int64_t> connections =
        reader.ReadInteger("connections", 1, kMaxConnections, Presence::kRequired);
    Target target{.name = reader.ReadName("name"),
                  .service = reader.ReadName("service"),
                  .address = this->ReadAddress(reader),
                  .domain = reader.ReadName("domain"),
                  .slots = static_cast<std::uint32_t>(slots.value_or(1)),
                  .connections = static_cast<std::uint32_t>(connections.value_or(1)),
                  .labels = reader.ReadLabels("labels"),
                  .leaving = reader.ReadBool("leaving", Presence::kOptional)};
    this->target_names.Add(target.name, reader.FieldPointer("name"));
    this->CheckReference(target.service, this->service_names, "service",
                         reader.FieldPointer("service"));
    if (slots && connections && *connections < *slots) {
      reader.ReportError("connections", "is below the number of slots");
    }
    const auto capacity = this->service_capacities.find(target.service);
    if (capacity != this->service_capacities.end()) {
      capacity->second.slots += target.slots;
      capacity->second.has_targets = true;
      capacity->second.has_valid_slots = capacity->second.has_valid_slots && slots.has_value();
    }
    this->configuration.targets.push_back(std::move(target));
  }

  std::string ReadAddress(const ObjectReader& reader) {
    const std::optional<std::string> text = reader.ReadString("address", Presence::kRequired);
    if (!text) {
      return "";
    }
    const std::optional<SocketAddress> address = SocketAddress::Parse(*text);
    if (!address || address->port == 0) {
      reader.ReportError("address",
                         "'" + Truncate(*text) + "' must be IP:port with port 1 to 65535");
      return "";
    }
    // Two targets with the same address would count its slots twice.
    this->target_addresses.Add(address->ToText(), reader.FieldPointer("address"));
    return *text;
  }

  void ReadAccessRule(const ObjectReader& reader) {
    reader.RejectUnknownFields({"callers", "targets", "services"});
    this->configuration.access.push_back(
        {.callers = this->ReadSelector(reader, "callers", Presence::kRequired),
         .targets = this->ReadSelector(reader, "targets", Presence::kRequired),
         .services = this->ReadServiceNames(reader)});
  }

  void ReadWorkRule(const ObjectReader& reader) {
    reader.RejectUnknownFields({"services", "methods", "path_prefix", "callers", "idempotent",
                                "long", "deadline_ms", "affinity"});
    WorkRule rule{.services = this->ReadServiceNames(reader),
                  .methods = this->ReadMethods(reader),
                  .path_prefix = this->ReadPathPrefix(reader),
                  .callers = this->ReadSelector(reader, "callers", Presence::kOptional),
                  .idempotent = reader.ReadBool("idempotent", Presence::kRequired),
                  .is_long = reader.ReadBool("long", Presence::kOptional),
                  .affinity = reader.ReadBool("affinity", Presence::kOptional)};
    const std::optional<std::int64_t> deadline_ms =
        reader.ReadInteger("deadline_ms", 1, kMaxDeadlineMs, Presence::kOptional);
    if (deadline_ms) {
      rule.deadline = std::chrono::milliseconds(*deadline_ms);
    }
    this->configuration.work.push_back(std::move(rule));
  }

  void ReadRoute(const ObjectReader& reader) {
    reader.RejectUnknownFields({"name", "host", "path_prefix", "services", "caller", "idempotent",
                                "bulk", "max_attempts", "timeout_ms", "latency_objective_ms",
                                "priority", "anonymous"});
    Route route{
        .name = reader.ReadName("name"),
        .host = reader.ReadString("host", Presence::kRequired).value_or(""),
        .path_prefix = this->ReadPathPrefix(reader),
        .caller = reader.ReadName("caller"),
        .idempotent = reader.ReadBool("idempotent", Presence::kRequired),
        .bulk = reader.ReadBool("bulk", Presence::kOptional),
        .max_attempts = reader.ReadUint32("max_attempts", 1, kMaxAttempts),
        .timeout = std::chrono::milliseconds(reader.ReadUint32("timeout_ms", 1, kMaxDeadlineMs)),
        .latency_objective =
            std::chrono::milliseconds(reader.ReadUint32("latency_objective_ms", 1, kMaxDeadlineMs)),
        .priority = reader.ReadOptionalUint32("priority", 0, kMaxPriority).value_or(0),
        .anonymous = reader.ReadBool("anonymous", Presence::kOptional)};
    this->route_names.Add(route.name, reader.FieldPointer("name"));
    this->CheckReference(route.caller, this->caller_names, "caller", reader.FieldPointer("caller"));
    if (route.path_prefix.empty() || route.path_prefix.back() != '/') {
      reader.ReportError("path_prefix", "must start and end with '/'");
    }
    // Of two routes with equal host and prefix, the order in the document would decide which one
    // applies.
    this->route_keys.Add(route.host + route.path_prefix, reader.FieldPointer("path_prefix"));
    reader.ForEachElement(
        "services", Presence::kRequired, [&](const json& value, const std::string& json_pointer) {
          this->ReadRouteService(ObjectReader(value, json_pointer, this->report), route);
        });
    if (route.services.empty()) {
      reader.ReportError("services", "must name at least one service");
    }
    this->configuration.routes.push_back(std::move(route));
  }

  void ReadRouteService(const ObjectReader& reader, Route& route) {
    reader.RejectUnknownFields({"service", "weight"});
    WeightedService weighted_service{.service = reader.ReadName("service"),
                                     .weight = reader.ReadUint32("weight", 1, kMaxWeight)};
    this->CheckReference(weighted_service.service, this->service_names, "service",
                         reader.FieldPointer("service"));
    route.services.push_back(std::move(weighted_service));
  }

  std::vector<std::string> ReadServiceNames(const ObjectReader& reader) {
    return reader.ReadUniqueStrings(
        "services", [&](const std::string& name, const std::string& json_pointer) {
          this->CheckReference(name, this->service_names, "service", json_pointer);
        });
  }

  std::vector<std::string> ReadMethods(const ObjectReader& reader) {
    return reader.ReadUniqueStrings("methods", [&](const std::string& method,
                                                   const std::string& json_pointer) {
      if (!IsValidMethod(method)) {
        this->report(json_pointer, "'" + Truncate(method) + "' is not an upper-case HTTP method");
      }
    });
  }

  std::string ReadPathPrefix(const ObjectReader& reader) {
    const std::string prefix = reader.ReadString("path_prefix", Presence::kOptional).value_or("");
    if (!prefix.empty() && prefix.front() != '/') {
      reader.ReportError("path_prefix", "must start with '/'");
    }
    if (prefix.size() > kMaxPathPrefixBytes) {
      reader.ReportError("path_prefix",
                         "is longer than " + std::to_string(kMaxPathPrefixBytes) + " bytes");
    }
    return prefix;
  }

  Selector ReadSelector(const ObjectReader& parent, std::string_view field, Presence presence) {
    const json* const found = parent.FindField(field, presence);
    if (found == nullptr) {
      return {};
    }
    const ObjectReader reader(*found, parent.FieldPointer(field), this->report);
    reader.RejectUnknownFields({"match_labels", "match_expressions"});
    Selector selector{.match_labels = reader.ReadLabels("match_labels")};
    reader.ForEachElement("match_expressions", Presence::kOptional,
                          [&](const json& value, const std::string& json_pointer) {
                            selector.match_expressions.push_back(this->ReadRequirement(
                                ObjectReader(value, json_pointer, this->report)));
                          });
    return selector;
  }

  SelectorRequirement ReadRequirement(const ObjectReader& reader) {
    reader.RejectUnknownFields({"key", "operator", "values"});
    SelectorRequirement requirement{.key =
                                        reader.ReadString("key", Presence::kRequired).value_or("")};
    if (reader.FindField("key", Presence::kOptional) != nullptr &&
        (requirement.key.empty() || !IsValidLabelText(requirement.key))) {
      reader.ReportError("key", "label key must match [A-Za-z0-9._/-]{1,63}");
    }
    std::set<std::string> seen;
    reader.ForEachElement(
        "values", Presence::kOptional, [&](const json& value, const std::string& json_pointer) {
          if (!value.is_string()) {
            this->report(json_pointer, "must be a string, not " + std::string(value.type_name()));
          } else if (!IsValidLabelText(value.get_ref<const std::string&>())) {
            this->report(json_pointer, "label value must match [A-Za-z0-9._/-]{0,63}");
          } else if (!seen.insert(value.get<std::string>()).second) {
            this->report(json_pointer,
                         "'" + value.get<std::string>() + "' is listed more than once");
          } else {
            requirement.values.push_back(value.get<std::string>());
          }
        });
    this->ReadOperator(reader, requirement);
    return requirement;
  }

  void ReadOperator(const ObjectReader& reader, SelectorRequirement& requirement) {
    static constexpr std::array kOperators{
        std::pair<std::string_view, SelectorOperator>{"In", SelectorOperator::kIn},
        std::pair<std::string_view, SelectorOperator>{"NotIn", SelectorOperator::kNotIn},
        std::pair<std::string_view, SelectorOperator>{"Exists", SelectorOperator::kExists},
        std::pair<std::string_view, SelectorOperator>{"DoesNotExist",
                                                      SelectorOperator::kDoesNotExist}};
    const std::optional<std::string> text = reader.ReadString("operator", Presence::kRequired);
    if (!text) {
      return;
    }
    const auto* const found = std::find_if(kOperators.begin(), kOperators.end(),
                                           [&](const auto& entry) { return entry.first == *text; });
    if (found == kOperators.end()) {
      reader.ReportError("operator",
                         "'" + Truncate(*text) + "' is not one of In, NotIn, Exists, DoesNotExist");
      return;
    }
    requirement.op = found->second;
    const json* const values = reader.FindField("values", Presence::kOptional);
    const bool has_values = values != nullptr && !(values->is_array() && values->empty());
    const bool takes_values =
        requirement.op == SelectorOperator::kIn || requirement.op == SelectorOperator::kNotIn;
    if (takes_values && !has_values) {
      reader.ReportError("values", *text + " needs at least one value");
    }
    if (!takes_values && has_values) {
      reader.ReportError("values", *text + " takes no values");
    }
  }

  void CheckReference(const std::string& name,
                      const UniqueNames& known_names,
                      std::string_view kind,
                      const std::string& json_pointer) {
    if (!name.empty() && !known_names.Contains(name)) {
      this->report(json_pointer, "unknown " + std::string(kind) + " '" + Truncate(name) + "'");
    }
  }

  void RejectOrganisationLabel(const ObjectReader& reader, const Labels& labels) {
    if (labels.contains(std::string(kOrganisationLabelKey))) {
      this->report(ChildPointer(reader.FieldPointer("labels"), kOrganisationLabelKey),
                   "is set from the caller's organisation and must not be given");
    }
  }

  // Requests with a key are sent on behalf of the first caller of its organisation.
  void CheckKeyHolders() {
    for (const KeyHolderPlace& holder : this->key_holders) {
      const bool has_caller = std::any_of(
          this->configuration.callers.begin(), this->configuration.callers.end(),
          [&holder](const Caller& caller) { return caller.organisation == holder.organisation; });
      if (!has_caller) {
        this->report(ChildPointer(holder.json_pointer, "key_digests"),
                     "the organisation has no caller");
      }
    }
  }

  // Leaving targets are included in the slots, so that draining a target does not make the
  // document invalid.
  void CheckServices() {
    for (const Service& service : this->configuration.services) {
      const auto capacity = this->service_capacities.find(service.name);
      if (service.name.empty() || capacity == this->service_capacities.end()) {
        continue;
      }
      if (!capacity->second.has_targets) {
        this->report(capacity->second.json_pointer, "service has no targets");
      } else if (capacity->second.has_valid_slots && service.floor_slots > capacity->second.slots) {
        this->report(ChildPointer(capacity->second.json_pointer, "floor_slots"),
                     std::to_string(service.floor_slots) + " is above the " +
                         std::to_string(capacity->second.slots) +
                         " slots of the service's targets");
      }
      // A second service with this name was already reported as a duplicate.
      this->service_capacities.erase(capacity);
    }
  }

  const ErrorReporter& report;
  Configuration configuration;
  UniqueNames organisation_names;
  UniqueNames caller_names;
  UniqueNames service_names;
  UniqueNames target_names;
  UniqueNames target_addresses;
  UniqueNames route_names;
  UniqueNames route_keys;
  UniqueKeys unique_keys;
  std::vector<KeyHolderPlace> key_holders;
  std::map<std::string, Labels> organisation_labels;
  std::map<std::string, ServiceCapacity> service_capacities;
};

}  // namespace

std::optional<Configuration> ReadConfiguration(std::string_view json_text,
                                               std::uint64_t revision,
                                               Findings& findings,
                                               const ConfigurationLimits& limits) {
  std::size_t error_count = 0;
  const ErrorReporter report = [&](std::string place, std::string message) {
    ++error_count;
    if (error_count <= limits.max_findings) {
      findings.Add(std::move(place), std::move(message));
    }
  };
  if (json_text.size() > limits.max_bytes) {
    report("", "document has " + std::to_string(json_text.size()) + " bytes; at most " +
                   std::to_string(limits.max_bytes) + " are allowed");
    return std::nullopt;
  }
  if (!ScanDocument(json_text, limits.max_depth, report)) {
    return std::nullopt;
  }
  Configuration configuration = DocumentReader(report, revision).Read(json::parse(json_text));
  if (error_count > limits.max_findings) {
    findings.Add("",
                 std::to_string(error_count - limits.max_findings) + " further errors not listed");
  }
  if (error_count > 0) {
    return std::nullopt;
  }
  return configuration.WithIndex();
}

}  // namespace pimentopin

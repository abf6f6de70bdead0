#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/LibConfig/api_key.h"
#include "Libraries/LibConfig/configuration_index.h"
#include "Libraries/LibConfig/labels.h"
#include "Libraries/LibConfig/route.h"
#include "Libraries/LibConfig/selector.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/request_limits.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

struct Organisation {
  std::string name;
  Labels labels;
  // Keys by which callers identify themselves as part of the organisation.
  std::vector<ApiKeyDigest> keys;
  // Goes before the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  // Quota over all hosts: requests per second, and requests beyond that at once. Zero requests per
  // second means no limit.
  double requests_per_second = 0;
  double burst = 0;

  OrganisationId id() const { return IdFromName<OrganisationId>(this->name); }
  friend bool operator==(const Organisation&, const Organisation&) = default;
};

struct Caller {
  std::string name;
  std::string organisation;
  // The caller's own labels, the labels of its organisation and the label
  // `organisation` with the organisation's name.
  Labels labels;

  CallerId id() const { return IdFromName<CallerId>(this->name); }
  friend bool operator==(const Caller&, const Caller&) = default;
};

struct Service {
  std::string name;
  // Number of slots that ejection must leave in use.
  std::uint32_t floor_slots = 0;
  // The same limit as a fraction (0 to 1) of the slots of targets that are not
  // leaving. The larger of the two applies.
  double floor_share = 0.0;
  // Deadline of requests that specify none.
  Duration deadline{};
  // Maximum number of requests queued at the broker.
  std::uint32_t queue_limit = 0;
  // Maximum number of connections to each registered target, summed over all hosts.
  std::uint32_t target_connections = 0;
  // Path of the health check endpoint of the targets.
  std::string health_path = "/healthz";

  ServiceId id() const { return IdFromName<ServiceId>(this->name); }
  friend bool operator==(const Service&, const Service&) = default;
};

struct Target {
  std::string name;
  std::string service;
  // IP:port.
  std::string address;
  std::string domain;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  Labels labels;
  bool leaving = false;
  // Identity that the target must confirm before it executes a request; empty if
  // the target is identified by its address alone.
  std::string instance;
  // Start time of a registered target in milliseconds since the Unix epoch; 0 for
  // other targets. It is part of the id: a restarted target gets a new id, so that
  // no state of the previous process is applied to it.
  std::uint64_t incarnation = 0;

  TargetId id() const {
    return TargetId{this->incarnation == 0 ? StableHash(this->name)
                                           : StableHash(StableHash(this->name), this->incarnation)};
  }
  ServiceId service_id() const { return IdFromName<ServiceId>(this->service); }
  DomainId domain_id() const { return IdFromName<DomainId>(this->domain); }
  friend bool operator==(const Target&, const Target&) = default;
};

// Allows the selected callers to access the selected targets of the services.
// An empty list of services means all services.
struct AccessRule {
  Selector callers;
  Selector targets;
  std::vector<std::string> services;

  friend bool operator==(const AccessRule&, const AccessRule&) = default;
};

// Assigns properties to the matching requests. The first matching rule applies.
struct WorkRule {
  // Empty means all services.
  std::vector<std::string> services;
  // Empty means all methods.
  std::vector<std::string> methods;
  std::string path_prefix;
  Selector callers;
  bool idempotent = false;
  bool is_long = false;
  // Requests with the same path prefer the same target.
  bool affinity = false;
  std::optional<Duration> deadline;

  friend bool operator==(const WorkRule&, const WorkRule&) = default;
};

// Properties of a request, resolved from the work rules.
struct RequestTraits {
  bool idempotent = false;
  bool is_long = false;
  bool affinity = false;
  Duration deadline{};

  friend bool operator==(const RequestTraits&, const RequestTraits&) = default;
};

// Whom a key identifies. The caller is the first one of the organisation; both are null for an
// unknown key, and the caller is null for an organisation without callers.
struct KeyHolder {
  const Organisation* organisation = nullptr;
  const Caller* caller = nullptr;

  friend bool operator==(const KeyHolder&, const KeyHolder&) = default;
};

// A validated configuration document. It is immutable after reading; a change is
// a new configuration with a higher revision.
struct Configuration {
  std::uint64_t revision = 0;
  std::vector<Organisation> organisations;
  // Requests need a key of an organisation, except on anonymous routes.
  bool requires_keys = false;
  std::vector<Caller> callers;
  std::vector<Service> services;
  std::vector<Target> targets;
  std::vector<AccessRule> access;
  std::vector<WorkRule> work;
  std::vector<Route> routes;
  // If absent, the limits of the host's settings apply.
  std::optional<RequestLimits> request_limits;
  // Set by WithIndex(). Without an index, the lookups below search linearly.
  ConfigurationIndexPointer index;

  // Returns a copy with constant-time lookups. The lists of the copy must not be
  // modified without building a new index.
  Configuration WithIndex() const;

  // Null if there is no entry with that name or id.
  const Caller* FindCaller(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Service* FindService(ServiceId id) const;
  const Target* FindTarget(TargetId id) const;
  const Organisation* FindOrganisation(OrganisationId id) const;
  KeyHolder FindKeyHolder(const ApiKeyDigest& key) const;

  // Route of the host name with the longest matching path prefix; null if none
  // matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Number of slots of the service that ejection must leave in use.
  std::uint32_t FloorSlots(const Service& service) const;

  std::vector<const Target*> TargetsOf(std::string_view service) const;
  // Targets of the service that the access rules allow the caller to use. Empty
  // means that access is denied.
  std::vector<const Target*> AllowedTargets(const Caller& caller, const Service& service) const;
  // `path` is the part after the service name and starts with '/'. No rule
  // applies to a path with "." or ".." segments, and its requests are not
  // idempotent.
  RequestTraits RequestTraitsFor(const Caller& caller,
                                 const Service& service,
                                 std::string_view method,
                                 std::string_view path) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace pimentopin

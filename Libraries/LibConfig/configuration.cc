#include "Libraries/LibConfig/configuration.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

template <typename Range, typename Predicate>
auto FindOrNull(const Range& range, Predicate predicate) -> const typename Range::value_type* {
  const auto found = std::find_if(range.begin(), range.end(), predicate);
  return found == range.end() ? nullptr : &*found;
}

template <typename Entry, typename Id>
const Entry* FindById(const std::vector<Entry>& entries,
                      const std::unordered_map<Id, std::size_t>& positions,
                      Id id) {
  const auto found = positions.find(id);
  return found == positions.end() ? nullptr : &entries[found->second];
}

const std::vector<std::size_t>& PositionsOf(
    const std::unordered_map<ServiceId, std::vector<std::size_t>>& by_service,
    ServiceId service) {
  static const std::vector<std::size_t> no_positions;
  const auto found = by_service.find(service);
  return found == by_service.end() ? no_positions : found->second;
}

// Visits the rules at the positions of both ascending lists in document order. Returns the first
// rule for which `visit` returns true, or null.
template <typename Rule, typename Visit>
const Rule* VisitMerged(const std::vector<Rule>& rules,
                        const std::vector<std::size_t>& for_service,
                        const std::vector<std::size_t>& for_all,
                        Visit visit) {
  auto next_for_service = for_service.begin();
  auto next_for_all = for_all.begin();
  while (next_for_service != for_service.end() || next_for_all != for_all.end()) {
    const bool use_service_rule =
        next_for_all == for_all.end() ||
        (next_for_service != for_service.end() && *next_for_service < *next_for_all);
    const Rule& rule = rules[use_service_rule ? *next_for_service++ : *next_for_all++];
    if (visit(rule)) {
      return &rule;
    }
  }
  return nullptr;
}

bool IsEmptyOrContains(const std::vector<std::string>& values, std::string_view value) {
  return values.empty() || std::find(values.begin(), values.end(), value) != values.end();
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Returns true for "." and ".." segments, including percent-encoded dots.
bool IsDotSegment(std::string_view segment) {
  std::size_t dots = 0;
  while (!segment.empty()) {
    if (segment.front() == '.') {
      segment.remove_prefix(1);
    } else if (segment.starts_with("%2e") || segment.starts_with("%2E")) {
      segment.remove_prefix(3);
    } else {
      return false;
    }
    ++dots;
  }
  return dots == 1 || dots == 2;
}

bool HasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    if (IsDotSegment(path.substr(0, end))) {
      return true;
    }
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return false;
}

}  // namespace

Configuration Configuration::WithIndex() const {
  Configuration indexed = *this;
  indexed.index.pointer = ConfigurationIndex::Build(*this);
  return indexed;
}

const Caller* Configuration::FindCaller(std::string_view name) const {
  if (this->index.pointer) {
    const Caller* const caller =
        FindById(this->callers, this->index.pointer->callers_by_id, IdFromName<CallerId>(name));
    return caller != nullptr && caller->name == name ? caller : nullptr;
  }
  return FindOrNull(this->callers, [&](const Caller& caller) { return caller.name == name; });
}

const Service* Configuration::FindService(std::string_view name) const {
  if (this->index.pointer) {
    const Service* const service = this->FindService(IdFromName<ServiceId>(name));
    return service != nullptr && service->name == name ? service : nullptr;
  }
  return FindOrNull(this->services, [&](const Service& service) { return service.name == name; });
}

const Service* Configuration::FindService(ServiceId id) const {
  if (this->index.pointer) {
    return FindById(this->services, this->index.pointer->services_by_id, id);
  }
  return FindOrNull(this->services, [&](const Service& service) { return service.id() == id; });
}

const Target* Configuration::FindTarget(TargetId id) const {
  if (this->index.pointer) {
    return FindById(this->targets, this->index.pointer->targets_by_id, id);
  }
  return FindOrNull(this->targets, [&](const Target& target) { return target.id() == id; });
}

const Organisation* Configuration::FindOrganisation(OrganisationId id) const {
  if (this->index.pointer) {
    return FindById(this->organisations, this->index.pointer->organisations_by_id, id);
  }
  return FindOrNull(this->organisations,
                    [&](const Organisation& organisation) { return organisation.id() == id; });
}

KeyHolder Configuration::FindKeyHolder(const ApiKeyDigest& key) const {
  KeyHolder holder;
  if (this->index.pointer) {
    holder.organisation =
        FindById(this->organisations, this->index.pointer->organisations_by_key, key);
  } else {
    holder.organisation = FindOrNull(this->organisations, [&](const Organisation& organisation) {
      return std::find(organisation.keys.begin(), organisation.keys.end(), key) !=
             organisation.keys.end();
    });
  }
  if (holder.organisation == nullptr) {
    return holder;
  }
  holder.caller = this->index.pointer
                      ? FindById(this->callers, this->index.pointer->first_caller_by_organisation,
                                 holder.organisation->id())
                      : FindOrNull(this->callers, [&](const Caller& caller) {
                          return caller.organisation == holder.organisation->name;
                        });
  return holder;
}

const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const {
  const Route* longest_match = nullptr;
  const auto update_longest_match = [&](const Route& route) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (longest_match == nullptr ||
         route.path_prefix.size() > longest_match->path_prefix.size())) {
      longest_match = &route;
    }
  };
  if (!this->index.pointer) {
    std::for_each(this->routes.begin(), this->routes.end(), update_longest_match);
    return longest_match;
  }
  const auto found = this->index.pointer->routes_by_host_hash.find(StableHash(host));
  if (found != this->index.pointer->routes_by_host_hash.end()) {
    for (const std::size_t position : found->second) {
      update_longest_match(this->routes[position]);
    }
  }
  return longest_match;
}

std::uint32_t Configuration::FloorSlots(const Service& service) const {
  std::uint32_t slots = 0;
  for (const Target* target : this->TargetsOf(service.name)) {
    slots += target->leaving ? 0 : target->slots;
  }
  const auto share_slots = static_cast<std::uint32_t>(std::ceil(service.floor_share * slots));
  return std::max(service.floor_slots, share_slots);
}

std::vector<const Target*> Configuration::TargetsOf(std::string_view service) const {
  std::vector<const Target*> found;
  if (this->index.pointer) {
    for (const std::size_t position :
         PositionsOf(this->index.pointer->targets_by_service, IdFromName<ServiceId>(service))) {
      found.push_back(&this->targets[position]);
    }
    return found;
  }
  for (const Target& target : this->targets) {
    if (target.service == service) {
      found.push_back(&target);
    }
  }
  return found;
}

std::vector<const Target*> Configuration::AllowedTargets(const Caller& caller,
                                                         const Service& service) const {
  std::vector<const AccessRule*> rules;
  const auto collect_if_matching = [&](const AccessRule& rule) {
    if (IsEmptyOrContains(rule.services, service.name) && rule.callers.Matches(caller.labels)) {
      rules.push_back(&rule);
    }
    return false;
  };
  if (this->index.pointer) {
    VisitMerged(this->access,
                PositionsOf(this->index.pointer->access_rules_by_service, service.id()),
                this->index.pointer->access_rules_for_all_services, collect_if_matching);
  } else {
    std::for_each(this->access.begin(), this->access.end(), collect_if_matching);
  }
  std::vector<const Target*> allowed = this->TargetsOf(service.name);
  std::erase_if(allowed, [&](const Target* target) {
    return std::none_of(rules.begin(), rules.end(), [&](const AccessRule* rule) {
      return rule->targets.Matches(target->labels);
    });
  });
  return allowed;
}

RequestTraits Configuration::RequestTraitsFor(const Caller& caller,
                                              const Service& service,
                                              std::string_view method,
                                              std::string_view path) const {
  // A target may resolve /availability/../bookings to /bookings, so the prefix does not identify
  // the operation, and a retry could book twice.
  if (HasDotSegment(path)) {
    return {.idempotent = false, .deadline = service.deadline};
  }
  const auto matches = [&](const WorkRule& rule) {
    return IsEmptyOrContains(rule.services, service.name) &&
           IsEmptyOrContains(rule.methods, method) && path.starts_with(rule.path_prefix) &&
           rule.callers.Matches(caller.labels);
  };
  const WorkRule* const rule =
      this->index.pointer
          ? VisitMerged(this->work,
                        PositionsOf(this->index.pointer->work_rules_by_service, service.id()),
                        this->index.pointer->work_rules_for_all_services, matches)
          : FindOrNull(this->work, matches);
  if (rule == nullptr) {
    return {.idempotent = IsSafeMethod(method), .deadline = service.deadline};
  }
  return {.idempotent = rule->idempotent,
          .is_long = rule->is_long,
          .affinity = rule->affinity,
          .deadline = rule->deadline.value_or(service.deadline)};
}

}  // namespace pimentopin

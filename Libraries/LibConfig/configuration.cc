#include "Libraries/LibConfig/configuration.h"

#include <algorithm>

namespace pimentopin {
namespace {

template <typename Range, typename Predicate>
auto FindOrNull(const Range& range, Predicate predicate) -> const typename Range::value_type* {
  const auto found = std::find_if(range.begin(), range.end(), predicate);
  return found == range.end() ? nullptr : &*found;
}

bool ListedOrEmpty(const std::vector<std::string>& list, std::string_view value) {
  return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

// FIXME: These look-ups are linear; index by name and id before configurations grow beyond a few
// hundred entries (docs/CAPACITY.md gives the slope).
const Caller* Configuration::FindCaller(std::string_view name) const {
  return FindOrNull(this->callers, [&](const Caller& caller) { return caller.name == name; });
}

const Service* Configuration::FindService(std::string_view name) const {
  return FindOrNull(this->services, [&](const Service& service) { return service.name == name; });
}

const Service* Configuration::FindService(ServiceId id) const {
  return FindOrNull(this->services, [&](const Service& service) { return service.id() == id; });
}

const Target* Configuration::FindTarget(TargetId id) const {
  return FindOrNull(this->targets, [&](const Target& target) { return target.id() == id; });
}

std::vector<const Target*> Configuration::TargetsOf(std::string_view service) const {
  std::vector<const Target*> found;
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
  for (const AccessRule& rule : this->access) {
    if (ListedOrEmpty(rule.services, service.name) && rule.callers.Matches(caller.labels)) {
      rules.push_back(&rule);
    }
  }
  std::vector<const Target*> allowed = this->TargetsOf(service.name);
  std::erase_if(allowed, [&](const Target* target) {
    return std::none_of(rules.begin(), rules.end(), [&](const AccessRule* rule) {
      return rule->targets.Matches(target->labels);
    });
  });
  return allowed;
}

WorkTraits Configuration::TraitsOf(const Caller& caller,
                                   const Service& service,
                                   std::string_view method,
                                   std::string_view path) const {
  for (const WorkRule& rule : this->work) {
    if (ListedOrEmpty(rule.services, service.name) && ListedOrEmpty(rule.methods, method) &&
        path.starts_with(rule.path_prefix) && rule.callers.Matches(caller.labels)) {
      return {.idempotent = rule.idempotent,
              .is_long = rule.is_long,
              .affinity = rule.affinity,
              .deadline = rule.deadline.value_or(service.deadline)};
    }
  }
  return {.idempotent = IsSafeMethod(method), .deadline = service.deadline};
}

}  // namespace pimentopin

#include "Libraries/LibHost/request_reader.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <string_view>
#include <utility>

namespace pimentopin {
namespace {

constexpr std::size_t kMaxIdentifierBytes = 255;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 60 * 60 * 1000;

struct SplitPath {
  std::string_view service;
  // Starts with '/'.
  std::string_view rest;
};

SplitPath SplitService(std::string_view path) {
  path.remove_prefix(1);
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return {path, "/"};
  }
  return {path.substr(0, slash), path.substr(slash)};
}

// Parses a deadline in milliseconds; a longer one counts as kMaxDeadlineMs. No value if the text is
// not a whole number.
std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t milliseconds = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool is_whole_number = status == std::errc() && end == text.data() + text.size();
  if (!is_whole_number || milliseconds < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(milliseconds, kMaxDeadlineMs));
}

Fingerprint ComputeFingerprint(std::string_view service,
                               std::string_view method,
                               std::string_view path,
                               std::string_view body) {
  std::uint64_t hash = StableHash(service);
  hash = StableHash(method, hash);
  hash = StableHash(path, hash);
  return Fingerprint{StableHash(body, hash)};
}

// The first segments of a path. Segments with digits are taken for identifiers, which differ
// between requests that are alike.
std::string_view PathStart(std::string_view path) {
  constexpr int kMaxSegments = 2;
  std::size_t end = 0;
  for (int segment = 0; segment < kMaxSegments && end < path.size(); ++segment) {
    const std::size_t next = std::min(path.find('/', end + 1), path.size());
    const std::string_view text = path.substr(end, next - end);
    if (text.find_first_of("0123456789?") != std::string_view::npos) {
      break;
    }
    end = next;
  }
  return path.substr(0, end);
}

WorkKey ComputeWorkKey(std::string_view route,
                       std::string_view method,
                       std::string_view organisation,
                       std::size_t body_bytes,
                       std::string_view path) {
  std::uint64_t hash = StableHash(route);
  hash = StableHash(method, hash);
  hash = StableHash(organisation, hash);
  hash = StableHash(PathStart(path), hash);
  return WorkKey{StableHash(hash, static_cast<std::uint64_t>(std::bit_width(body_bytes))) | 1};
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

ErrorResponse MakeRefusal(int status, std::string reason, std::string message) {
  return {status, Outcome::kNotRun, std::move(reason), std::move(message)};
}

// The entries of the configuration that apply to a request.
struct ResolvedRequest {
  const Route* route = nullptr;
  const Caller* caller = nullptr;
  const Service* service = nullptr;
  bool identified_by_key = false;
  RequestTraits traits;
  // Path sent to the target, without the query.
  std::string_view target_path;
};

// Finds out on whose behalf a request is sent.
class CallerResolver {
 public:
  CallerResolver(const Configuration& active_configuration,
                 const HttpDialect& http_dialect,
                 const HttpServerRequest& http_request,
                 bool accepts_keys)
      : configuration(active_configuration),
        dialect(http_dialect),
        request(http_request),
        keys_confirmed(accepts_keys) {}

  // Caller of a request by its key. The caller that the request names must belong to the
  // organisation of the key.
  const Caller* FindByKey(ErrorResponse& refusal) const {
    if (!this->keys_confirmed) {
      refusal = MakeRefusal(503, "keys-unconfirmed",
                            "this host cannot tell whether its configuration is the newest one");
      return nullptr;
    }
    const std::string_view key = this->dialect.CallerCredential(this->request.headers);
    if (key.empty()) {
      refusal = MakeRefusal(401, "no-key", "the request has no key");
      return nullptr;
    }
    const KeyHolder holder = this->configuration.FindKeyHolder(ApiKeyDigest::Of(key));
    if (holder.organisation == nullptr) {
      refusal = MakeRefusal(401, "unknown-key", "no organisation has the key of the request");
      return nullptr;
    }
    const std::string_view stated = this->StatedName();
    if (stated.empty()) {
      if (holder.caller == nullptr) {
        refusal = MakeRefusal(403, "unknown-caller", "the organisation of the key has no caller");
      }
      return holder.caller;
    }
    const Caller* const caller = this->FindByName(stated, refusal);
    if (caller != nullptr && caller->organisation != holder.organisation->name) {
      refusal =
          MakeRefusal(403, "unknown-caller",
                      "the organisation of the key has no caller '" + std::string(stated) + "'");
      return nullptr;
    }
    return caller;
  }

  // The name that the caller gives itself; empty if there is none.
  std::string_view StatedName() const { return this->dialect.CallerName(this->request.headers); }

  const Caller* FindByName(std::string_view name, ErrorResponse& refusal) const {
    const Caller* const caller = this->configuration.FindCaller(name);
    if (caller == nullptr) {
      refusal = MakeRefusal(403, "unknown-caller", "unknown caller '" + std::string(name) + "'");
    }
    return caller;
  }

 private:
  const Configuration& configuration;
  const HttpDialect& dialect;
  const HttpServerRequest& request;
  const bool keys_confirmed;
};

std::optional<ResolvedRequest> ResolveByRoute(const Configuration& configuration,
                                              const CallerResolver& callers,
                                              const Route& route,
                                              const HttpServerRequest& request,
                                              const std::string& request_id,
                                              ErrorResponse& refusal) {
  ResolvedRequest resolved{.route = &route,
                           .identified_by_key = configuration.requires_keys && !route.anonymous,
                           .target_path = request.path};
  if (resolved.identified_by_key) {
    resolved.caller = callers.FindByKey(refusal);
  } else {
    // Without a key, nothing proves the name of a caller to a fleet that requires keys.
    const std::string_view stated = configuration.requires_keys ? "" : callers.StatedName();
    resolved.caller =
        callers.FindByName(stated.empty() ? std::string_view(route.caller) : stated, refusal);
  }
  if (resolved.caller == nullptr) {
    return std::nullopt;
  }
  resolved.service = configuration.FindService(route.SelectService(StableHash(request_id)));
  if (resolved.service == nullptr) {
    refusal =
        MakeRefusal(503, "no-service", "route '" + route.name + "' refers to an unknown service");
    return std::nullopt;
  }
  resolved.traits = {.idempotent = route.idempotent, .deadline = route.timeout};
  return resolved;
}

std::optional<ResolvedRequest> ResolveByPath(const Configuration& configuration,
                                             const HttpDialect& dialect,
                                             const CallerResolver& callers,
                                             const HttpServerRequest& request,
                                             ErrorResponse& refusal) {
  const std::string_view caller_name = callers.StatedName();
  const bool needs_route = !dialect.NamesServiceInPath() || !configuration.routes.empty();
  const bool key_suffices = configuration.requires_keys && !needs_route;
  if (!dialect.NamesServiceInPath() || (caller_name.empty() && !key_suffices)) {
    refusal = needs_route
                  ? MakeRefusal(404, "no-route", "no route matches the Host header and path")
                  : MakeRefusal(400, "no-caller", "header Pimentopin-Caller is missing");
    return std::nullopt;
  }
  const SplitPath split = SplitService(request.path);
  ResolvedRequest resolved{.identified_by_key = configuration.requires_keys,
                           .target_path = split.rest};
  resolved.service = configuration.FindService(split.service);
  if (resolved.service == nullptr) {
    refusal =
        MakeRefusal(404, "unknown-service", "unknown service '" + std::string(split.service) + "'");
    return std::nullopt;
  }
  resolved.caller = resolved.identified_by_key ? callers.FindByKey(refusal)
                                               : callers.FindByName(caller_name, refusal);
  if (resolved.caller == nullptr) {
    return std::nullopt;
  }
  resolved.traits = configuration.RequestTraitsFor(*resolved.caller, *resolved.service,
                                                   request.method, resolved.target_path);
  return resolved;
}

std::uint32_t PriorityOf(const Configuration& configuration,
                         const Caller& caller,
                         const Route* route) {
  const Organisation* const organisation =
      configuration.FindOrganisation(IdFromName<OrganisationId>(caller.organisation));
  const std::uint32_t by_route = route != nullptr ? route->priority : 0;
  return organisation != nullptr ? organisation->priority.value_or(by_route) : by_route;
}

// Time limit of a request: the earlier of the caller's deadline and the route's timeout.
// Without a caller's deadline, the limit set by the configuration applies.
std::optional<Duration> EffectiveTimeout(const ResolvedRequest& resolved,
                                         std::string_view deadline_text,
                                         ErrorResponse& refusal) {
  if (deadline_text.empty()) {
    return resolved.traits.deadline;
  }
  const std::optional<Duration> parsed = ParseDeadline(deadline_text);
  if (!parsed) {
    refusal =
        MakeRefusal(400, "bad-deadline", "the deadline must be a whole number of milliseconds");
    return std::nullopt;
  }
  // A caller that passes on the rest of its own deadline, in whole milliseconds, sends 0 near its
  // end.
  if (*parsed == Duration::zero()) {
    refusal = MakeRefusal(504, "deadline", "the deadline passed before a target was free");
    return std::nullopt;
  }
  return resolved.route != nullptr ? std::min(*parsed, resolved.traits.deadline) : *parsed;
}

}  // namespace

std::optional<Exchange> ReadRequest(const Configuration& configuration,
                                    const HttpDialect& dialect,
                                    HttpServerRequest& request,
                                    const std::string& request_id,
                                    TimePoint now,
                                    bool keys_confirmed,
                                    ErrorResponse& refusal) {
  const Route* const route =
      configuration.FindRoute(HostWithoutPort(FindHeader(request.headers, "Host")), request.path);
  const CallerResolver callers(configuration, dialect, request, keys_confirmed);
  const std::optional<ResolvedRequest> resolved =
      route != nullptr
          ? ResolveByRoute(configuration, callers, *route, request, request_id, refusal)
          : ResolveByPath(configuration, dialect, callers, request, refusal);
  if (!resolved) {
    return std::nullopt;
  }
  const Service& service = *resolved->service;
  const Caller& caller = *resolved->caller;
  const std::vector<const Target*> allowed = configuration.AllowedTargets(caller, service);
  if (allowed.empty()) {
    // With routes, targets that register themselves may be absent temporarily.
    refusal = route != nullptr
                  ? MakeRefusal(503, "no-target", "service '" + service.name + "' has no targets")
                  : MakeRefusal(403, "no-access",
                                "service '" + service.name + "' has no access rule for caller '" +
                                    caller.name + "'");
    return std::nullopt;
  }
  const std::optional<Duration> timeout =
      EffectiveTimeout(*resolved, dialect.CallerDeadline(request.headers), refusal);
  if (!timeout) {
    return std::nullopt;
  }
  const std::string_view key = FindHeader(request.headers, kIdempotencyKeyHeader);
  if (key.size() > kMaxIdentifierBytes || !IsVisibleAscii(key)) {
    refusal = MakeRefusal(400, "bad-idempotency-key",
                          "header Idempotency-Key must be at most 255 visible ASCII characters");
    return std::nullopt;
  }
  if (request_id.size() > kMaxIdentifierBytes || !IsVisibleAscii(request_id)) {
    refusal = MakeRefusal(400, "bad-request-id",
                          "the request id must be at most 255 visible ASCII characters");
    return std::nullopt;
  }

  const RequestTraits& traits = resolved->traits;
  Exchange exchange;
  exchange.service = service.name;
  exchange.caller = caller.name;
  exchange.organisation = caller.organisation;
  exchange.names_organisation = configuration.requires_keys;
  exchange.identified_by_key = resolved->identified_by_key;
  exchange.target_path = resolved->target_path;
  if (!request.query.empty()) {
    exchange.target_path += "?" + request.query;
  }
  RequestDescription& description = exchange.description;
  description.service = service.id();
  description.caller = caller.id();
  description.organisation = IdFromName<OrganisationId>(caller.organisation);
  description.work_class = traits.is_long ? WorkClass::kLong : WorkClass::kShort;
  description.priority = PriorityOf(configuration, caller, route);
  description.idempotent = traits.idempotent;
  if (route != nullptr) {
    exchange.route = route->name;
    description.kind = IdFromName<RequestKind>(route->name);
    description.bulk = route->bulk;
    description.max_attempts = route->max_attempts;
  }
  description.deadline = now + *timeout;
  description.fingerprint =
      ComputeFingerprint(service.name, request.method, exchange.target_path, request.body.text());
  description.work_key =
      ComputeWorkKey(route != nullptr ? route->name : service.name, request.method,
                     caller.organisation, request.body.text().size(), resolved->target_path);
  description.affinity_key =
      traits.affinity ? (StableHash(resolved->target_path) | 1) : std::uint64_t{0};
  for (const Target* target : allowed) {
    description.allowed.push_back(target->id());
  }
  if (!traits.idempotent && !key.empty()) {
    exchange.claim_key = ClaimKey{service.name, caller.organisation, std::string(key)};
  }
  exchange.arrived = now;
  exchange.request = std::move(request);
  return exchange;
}

}  // namespace pimentopin

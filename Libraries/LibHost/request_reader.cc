#include "Libraries/LibHost/request_reader.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace pimentopin {
namespace {

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
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

// A deadline in milliseconds, or nothing if the text is not one.
std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t milliseconds = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool is_whole_number = status == std::errc() && end == text.data() + text.size();
  if (!is_whole_number || milliseconds <= 0 || milliseconds > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

Fingerprint FingerprintOf(std::string_view service,
                          std::string_view method,
                          std::string_view path,
                          std::string_view body) {
  std::uint64_t hash = StableHash(service);
  hash = StableHash(method, hash);
  hash = StableHash(path, hash);
  return Fingerprint{StableHash(body, hash)};
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

ErrorAnswer Refusal(int status, std::string reason, std::string message) {
  return {status, Outcome::kNotRun, std::move(reason), std::move(message)};
}

// What the configuration says of a request.
struct Resolved {
  const Route* route = nullptr;
  const Caller* caller = nullptr;
  const Service* service = nullptr;
  RequestTraits traits;
  // Path as the target sees it, without the query.
  std::string_view target_path;
};

std::optional<Resolved> ResolveByRoute(const Configuration& configuration,
                                       const Route& route,
                                       const HttpServerRequest& request,
                                       const std::string& request_id,
                                       ErrorAnswer& refusal) {
  Resolved resolved{.route = &route, .target_path = request.path};
  const std::string_view caller_name = FindHeader(request.headers, kCallerHeader);
  resolved.caller = configuration.FindCaller(caller_name.empty() ? route.caller : caller_name);
  resolved.service = configuration.FindService(route.SelectService(StableHash(request_id)));
  if (resolved.caller == nullptr) {
    refusal = Refusal(403, "unknown-caller",
                      "there is no caller named '" + std::string(caller_name) + "'");
    return std::nullopt;
  }
  if (resolved.service == nullptr) {
    refusal = Refusal(503, "no-service", "the service of route '" + route.name + "' is unknown");
    return std::nullopt;
  }
  resolved.traits = {.idempotent = route.idempotent, .deadline = route.timeout};
  return resolved;
}

std::optional<Resolved> ResolveByPath(const Configuration& configuration,
                                      const HttpServerRequest& request,
                                      ErrorAnswer& refusal) {
  const std::string_view caller_name = FindHeader(request.headers, kCallerHeader);
  if (caller_name.empty()) {
    refusal = configuration.routes.empty()
                  ? Refusal(400, "no-caller", "header Pimentopin-Caller is missing")
                  : Refusal(404, "no-route", "no route matches host and path");
    return std::nullopt;
  }
  const SplitPath split = SplitService(request.path);
  Resolved resolved{.target_path = split.rest};
  resolved.service = configuration.FindService(split.service);
  if (resolved.service == nullptr) {
    refusal = Refusal(404, "unknown-service",
                      "there is no service named '" + std::string(split.service) + "'");
    return std::nullopt;
  }
  resolved.caller = configuration.FindCaller(caller_name);
  if (resolved.caller == nullptr) {
    refusal = Refusal(403, "unknown-caller",
                      "there is no caller named '" + std::string(caller_name) + "'");
    return std::nullopt;
  }
  resolved.traits = configuration.RequestTraitsFor(*resolved.caller, *resolved.service,
                                                   request.method, resolved.target_path);
  return resolved;
}

// Time limit of the request: the caller's deadline and a route's timeout,
// whichever is earlier.
std::optional<Duration> TimeLimit(const Resolved& resolved,
                                  std::string_view deadline_text,
                                  ErrorAnswer& refusal) {
  if (deadline_text.empty()) {
    return resolved.traits.deadline;
  }
  const std::optional<Duration> parsed = ParseDeadline(deadline_text);
  if (!parsed) {
    refusal = Refusal(400, "bad-deadline",
                      "the deadline is not a whole number of 1 to " +
                          std::to_string(kMaxDeadlineMs) + " milliseconds");
    return std::nullopt;
  }
  return resolved.route != nullptr ? std::min(*parsed, resolved.traits.deadline) : *parsed;
}

}  // namespace

std::optional<Exchange> ReadRequest(const Configuration& configuration,
                                    const MessageDialect& dialect,
                                    HttpServerRequest request,
                                    const std::string& request_id,
                                    TimePoint now,
                                    ErrorAnswer& refusal) {
  const Route* const route =
      configuration.FindRoute(HostWithoutPort(FindHeader(request.headers, "Host")), request.path);
  const std::optional<Resolved> resolved =
      route != nullptr ? ResolveByRoute(configuration, *route, request, request_id, refusal)
                       : ResolveByPath(configuration, request, refusal);
  if (!resolved) {
    return std::nullopt;
  }
  const Service& service = *resolved->service;
  const Caller& caller = *resolved->caller;
  const std::vector<const Target*> allowed = configuration.AllowedTargets(caller, service);
  if (allowed.empty()) {
    // Targets that register themselves may be missing for a while.
    refusal = route != nullptr
                  ? Refusal(503, "no-target", "service '" + service.name + "' has no target")
                  : Refusal(403, "no-access",
                            "no access rule opens service '" + service.name + "' to caller '" +
                                caller.name + "'");
    return std::nullopt;
  }
  const std::optional<Duration> limit =
      TimeLimit(*resolved, dialect.CallerDeadline(request.headers), refusal);
  if (!limit) {
    return std::nullopt;
  }
  const std::string_view key = FindHeader(request.headers, kIdempotencyKeyHeader);
  if (key.size() > kMaxIdempotencyKeyBytes || !IsPrintable(key)) {
    refusal = Refusal(400, "bad-idempotency-key",
                      "header Idempotency-Key is longer than 255 bytes or not printable ASCII");
    return std::nullopt;
  }
  if (request_id.size() > kMaxIdempotencyKeyBytes || !IsPrintable(request_id)) {
    refusal =
        Refusal(400, "bad-request-id", "the request id is longer than 255 bytes or not printable");
    return std::nullopt;
  }

  const RequestTraits& traits = resolved->traits;
  Exchange exchange;
  exchange.service = service.name;
  exchange.caller = caller.name;
  exchange.organisation = caller.organisation;
  exchange.target_path = resolved->target_path;
  if (!request.query.empty()) {
    exchange.target_path += "?" + request.query;
  }
  RequestDescription& description = exchange.description;
  description.service = service.id();
  description.caller = caller.id();
  description.organisation = IdFromName<OrganisationId>(caller.organisation);
  description.work_class = traits.is_long ? WorkClass::kLong : WorkClass::kShort;
  description.idempotent = traits.idempotent;
  if (route != nullptr) {
    exchange.route = route->name;
    description.bulk = route->bulk;
    description.max_attempts = route->max_attempts;
  }
  description.deadline = now + *limit;
  description.fingerprint =
      FingerprintOf(service.name, request.method, exchange.target_path, request.body);
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

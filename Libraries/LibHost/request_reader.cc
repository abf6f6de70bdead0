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

}  // namespace

std::optional<Exchange> ReadRequest(const Configuration& configuration,
                                    HttpServerRequest request,
                                    TimePoint now,
                                    ErrorAnswer& refusal) {
  const std::string path = request.path;
  const SplitPath split = SplitService(path);
  const std::string caller_name(FindHeader(request.headers, kCallerHeader));
  if (caller_name.empty()) {
    refusal = Refusal(400, "no-caller", "header Pimentopin-Caller is missing");
    return std::nullopt;
  }
  const Service* service = configuration.FindService(split.service);
  if (service == nullptr) {
    refusal = Refusal(404, "unknown-service",
                      "there is no service named '" + std::string(split.service) + "'");
    return std::nullopt;
  }
  const Caller* caller = configuration.FindCaller(caller_name);
  if (caller == nullptr) {
    refusal = Refusal(403, "unknown-caller", "there is no caller named '" + caller_name + "'");
    return std::nullopt;
  }
  const std::vector<const Target*> allowed = configuration.AllowedTargets(*caller, *service);
  if (allowed.empty()) {
    refusal = Refusal(
        403, "no-access",
        "no access rule opens service '" + service->name + "' to caller '" + caller->name + "'");
    return std::nullopt;
  }

  const WorkTraits traits = configuration.TraitsOf(*caller, *service, request.method, split.rest);
  Duration deadline = traits.deadline;
  const std::string_view deadline_text = FindHeader(request.headers, kDeadlineHeader);
  if (!deadline_text.empty()) {
    const std::optional<Duration> parsed = ParseDeadline(deadline_text);
    if (!parsed) {
      refusal = Refusal(400, "bad-deadline",
                        "header Pimentopin-Deadline-Ms is not a whole number of 1 to " +
                            std::to_string(kMaxDeadlineMs));
      return std::nullopt;
    }
    deadline = *parsed;
  }
  const std::string_view key = FindHeader(request.headers, kIdempotencyKeyHeader);
  if (key.size() > kMaxIdempotencyKeyBytes || !IsPrintable(key)) {
    refusal = Refusal(400, "bad-idempotency-key",
                      "header Idempotency-Key is longer than 255 bytes or not printable ASCII");
    return std::nullopt;
  }
  const std::string_view request_id = FindHeader(request.headers, kRequestIdHeader);
  if (request_id.size() > kMaxIdempotencyKeyBytes || !IsPrintable(request_id)) {
    refusal = Refusal(400, "bad-request-id",
                      "header Pimentopin-Request-Id is longer than 255 bytes or not printable");
    return std::nullopt;
  }

  Exchange exchange;
  exchange.service = service->name;
  exchange.caller = caller->name;
  exchange.organisation = caller->organisation;
  exchange.target_path = split.rest;
  if (!request.query.empty()) {
    exchange.target_path += "?" + request.query;
  }
  RequestDescription& description = exchange.description;
  description.service = service->id();
  description.caller = caller->id();
  description.organisation = IdFromName<OrganisationId>(caller->organisation);
  description.work_class = traits.is_long ? WorkClass::kLong : WorkClass::kShort;
  description.idempotent = traits.idempotent;
  description.deadline = now + deadline;
  description.fingerprint =
      FingerprintOf(service->name, request.method, exchange.target_path, request.body);
  description.affinity_key = traits.affinity ? (StableHash(split.rest) | 1) : 0;
  for (const Target* target : allowed) {
    description.allowed.push_back(target->id());
  }
  if (!traits.idempotent && !key.empty()) {
    exchange.claim_key = ClaimKey{service->name, caller->organisation, std::string(key)};
  }
  exchange.arrived = now;
  exchange.request = std::move(request);
  return exchange;
}

}  // namespace pimentopin

#include "Libraries/LibHost/limits_in_force.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "Libraries/LibCore/time.h"

namespace pimentopin {
namespace {

// Part of the platform's limit on retries that brokers use. The platform counts arrivals at targets
// in windows of its own, and hosts without a broker retry on their own account.
constexpr double kRetryLimitShare = 0.95;

// Hosts confirm their configuration about every second, so that a shorter time would end while they
// wait for the next confirmation.
constexpr Duration kMinKeyRevocationTime = std::chrono::seconds(2);

const char* SourceName(LimitSource source) {
  switch (source) {
    case LimitSource::kFlag:
      return "flag";
    case LimitSource::kPlatform:
      return "platform";
    case LimitSource::kNone:
      break;
  }
  return "none";
}

}  // namespace

void ApplyPlatformLimits(const PlatformLimits& limits, HostSettings& settings) {
  if (limits.retry_ratio) {
    settings.retry_fraction = *limits.retry_ratio * kRetryLimitShare;
    settings.retry_fraction_source = LimitSource::kPlatform;
  }
  if (limits.retry_extra) {
    settings.retry_extra = *limits.retry_extra * kRetryLimitShare;
    settings.retry_extra_source = LimitSource::kPlatform;
  }
  if (limits.floor_share) {
    settings.floor_share = *limits.floor_share;
    settings.floor_source = LimitSource::kPlatform;
  }
  if (limits.shutdown_grace_s) {
    settings.shutdown_grace = FromSeconds(*limits.shutdown_grace_s);
    settings.grace_source = LimitSource::kPlatform;
  }
  if (limits.key_revocation_s) {
    settings.key_revocation_time = FromSeconds(*limits.key_revocation_s);
    settings.key_revocation_source = LimitSource::kPlatform;
  }
}

void CheckLimits(const HostSettings& settings, Findings& findings) {
  if (settings.key_revocation_time == Duration::zero()) {
    return;
  }
  if (!settings.platform_configuration) {
    findings.Add("--key-revocation-ms", "needs --configuration platform");
  } else if (settings.key_revocation_time < kMinKeyRevocationTime) {
    findings.Add("--key-revocation-ms",
                 "must be 0 or at least " + std::to_string(Milliseconds(kMinKeyRevocationTime)));
  }
}

bool HasAllPlatformLimits(const HostSettings& settings) {
  return !settings.platform_configuration ||
         (settings.grace_source == LimitSource::kPlatform &&
          settings.retry_fraction_source == LimitSource::kPlatform &&
          settings.retry_extra_source == LimitSource::kPlatform &&
          settings.floor_source == LimitSource::kPlatform);
}

nlohmann::json LimitsInForce(const HostSettings& settings) {
  return {{"grace_ms", Milliseconds(settings.shutdown_grace)},
          {"grace_source", SourceName(settings.grace_source)},
          {"retry_fraction", settings.retry_fraction},
          {"retry_fraction_source", SourceName(settings.retry_fraction_source)},
          {"retry_extra", settings.retry_extra},
          {"retry_extra_source", SourceName(settings.retry_extra_source)},
          {"floor_share", settings.floor_share},
          {"floor_source", SourceName(settings.floor_source)},
          {"key_revocation_ms", Milliseconds(settings.key_revocation_time)},
          {"key_revocation_source", SourceName(settings.key_revocation_source)}};
}

}  // namespace pimentopin

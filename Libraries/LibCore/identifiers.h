#pragma once

#include <cstdint>
#include <string_view>

namespace pimentopin {

// Strong 64-bit identifiers. Those of named things are StableHash(name), so
// that every host derives the same value from the configuration.
enum class HostId : std::uint64_t {};
enum class DomainId : std::uint64_t {};
enum class ServiceId : std::uint64_t {};
enum class TargetId : std::uint64_t {};
enum class CallerId : std::uint64_t {};
enum class OrganisationId : std::uint64_t {};
// Unique over the fleet: drawn from the host's random source.
enum class RequestId : std::uint64_t {};
enum class AttemptId : std::uint64_t {};
// Hash of service, method, path and body of a request.
enum class Fingerprint : std::uint64_t {};

// Hash that is the same on every host and in every version.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Mixes two values into one, the same on every host.
std::uint64_t StableHash(std::uint64_t first, std::uint64_t second);

template <typename Id>
Id IdFromName(std::string_view name) {
  return Id{StableHash(name)};
}

template <typename Id>
constexpr std::uint64_t RawId(Id id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace pimentopin

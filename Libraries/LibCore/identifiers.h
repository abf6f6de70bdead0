#pragma once

#include <cstdint>
#include <string_view>

namespace pimentopin {

// Strongly typed 64-bit identifiers. The id of a named entity is derived from
// StableHash(name), so that every host computes the same id from the
// configuration.
enum class HostId : std::uint64_t {};
enum class DomainId : std::uint64_t {};
enum class ServiceId : std::uint64_t {};
enum class TargetId : std::uint64_t {};
enum class CallerId : std::uint64_t {};
enum class OrganisationId : std::uint64_t {};
// Generated from the host's random source; unique across the fleet.
enum class RequestId : std::uint64_t {};
enum class AttemptId : std::uint64_t {};
// Hash of service, method, path and body of a request.
enum class Fingerprint : std::uint64_t {};

// Hash whose value is the same on every host and in every version.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Combines two values into a hash that is the same on every host.
std::uint64_t StableHash(std::uint64_t first, std::uint64_t second);

// Spreads evenly distributed hashes evenly over 0 to 1, 1 excluded.
constexpr double HashFraction(std::uint64_t hash) {
  // A double holds 53 bits exactly.
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

template <typename Id>
Id IdFromName(std::string_view name) {
  return Id{StableHash(name)};
}

template <typename Id>
constexpr std::uint64_t RawId(Id id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace pimentopin

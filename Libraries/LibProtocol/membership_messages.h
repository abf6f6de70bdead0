#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Messages of the membership gossip and of the spreading of configurations.

enum class MemberState : std::uint8_t { kAlive, kLeaving, kSuspect, kDead };

// One host as gossiped. The greater (incarnation, heartbeat) is the newer one.
struct MemberRecord {
  HostId host{};
  std::string name;
  // Peer address, IP:port.
  std::string address;
  DomainId domain{};
  // Drawn at start from the wall clock in milliseconds; a restart is newer.
  std::uint64_t incarnation = 0;
  std::uint64_t heartbeat = 0;
  MemberState state = MemberState::kAlive;
  std::uint64_t configuration_revision = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// A target known to be leaving; spread until the configuration drops it.
struct LeavingTarget {
  TargetId target{};
  // Remaining time for which the notice is kept.
  Duration remaining{};

  friend bool operator==(const LeavingTarget&, const LeavingTarget&) = default;
};

// Suspected kills by a request fingerprint. `kills` holds one id per death, made
// by FingerprintLedger (upper half: hash of the target, lower half: hash of the
// attempt), so that a record merged twice counts once.
struct FingerprintRecord {
  Fingerprint fingerprint{};
  ServiceId service{};
  std::vector<AttemptId> kills;
  Duration remaining{};

  friend bool operator==(const FingerprintRecord&, const FingerprintRecord&) = default;
};

struct Gossip {
  MemberRecord sender;
  std::vector<MemberRecord> members;
  std::vector<LeavingTarget> leaving_targets;
  std::vector<FingerprintRecord> fingerprints;

  friend bool operator==(const Gossip&, const Gossip&) = default;
};

// Announces a revision; the receiver asks for the document if it is newer.
struct ConfigurationOffer {
  std::uint64_t revision = 0;

  friend bool operator==(const ConfigurationOffer&, const ConfigurationOffer&) = default;
};

// Asks for the sender's document if it is newer than `known_revision`.
struct ConfigurationRequest {
  std::uint64_t known_revision = 0;

  friend bool operator==(const ConfigurationRequest&, const ConfigurationRequest&) = default;
};

// A committed configuration with its audit data.
struct ConfigurationDocument {
  std::uint64_t revision = 0;
  std::uint64_t base_revision = 0;
  std::string change_id;
  std::string author;
  // Milliseconds since the Unix epoch.
  std::uint64_t committed_at_ms = 0;
  // JSON text as the operator sent it.
  std::string content;

  friend bool operator==(const ConfigurationDocument&, const ConfigurationDocument&) = default;
};

}  // namespace pimentopin

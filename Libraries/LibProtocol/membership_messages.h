#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Messages by which hosts share what they know of the store, of targets and of
// configurations.

enum class MemberState : std::uint8_t {
  kAlive,
  kLeaving,
  // No connection to it from this host.
  kUnreachable,
};

// One host as registered in the platform's store.
struct MemberRecord {
  HostId host{};
  std::string name;
  // Peer address, IP:port.
  std::string address;
  DomainId domain{};
  // Drawn at start from the wall clock in milliseconds; a restart is newer.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // Processor time that the host may use, in thousandths of a core.
  std::uint32_t capacity = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// A target known to be leaving.
struct LeavingTarget {
  TargetId target{};
  // Remaining time for which the notice is kept.
  Duration remaining{};

  friend bool operator==(const LeavingTarget&, const LeavingTarget&) = default;
};

// Suspected kills by a request fingerprint. `kills` holds one id per death, made
// by CrashFingerprintRegistry (upper half: hash of the target, lower half: hash of the
// attempt), so that a record merged twice counts once.
struct FingerprintRecord {
  Fingerprint fingerprint{};
  ServiceId service{};
  std::vector<AttemptId> kills;
  Duration remaining{};

  friend bool operator==(const FingerprintRecord&, const FingerprintRecord&) = default;
};

// What a host learned that the store does not hold.
struct Notices {
  std::vector<LeavingTarget> leaving_targets;
  std::vector<FingerprintRecord> fingerprints;

  friend bool operator==(const Notices&, const Notices&) = default;
};

struct TableVersion {
  std::string table;
  // Version of the last change of the table that was relayed.
  std::uint64_t version = 0;

  friend bool operator==(const TableVersion&, const TableVersion&) = default;
};

// Sent regularly by the host that reads the store for its failure domain.
struct StoreDigest {
  // Peer address of the sender, for a receiver that does not know it yet.
  std::string address;
  // The store answered the sender's last read.
  bool store_answered = false;
  std::uint64_t configuration_revision = 0;
  std::vector<TableVersion> tables;

  friend bool operator==(const StoreDigest&, const StoreDigest&) = default;
};

struct RelayedRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  bool removed = false;

  friend bool operator==(const RelayedRow&, const RelayedRow&) = default;
};

// Rows of a table of the store, as read by the sender.
struct RowRelay {
  std::string table;
  // The rows are the changes since this version; 0: they are the whole table.
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  std::vector<RelayedRow> rows;

  friend bool operator==(const RowRelay&, const RowRelay&) = default;
};

// Asks for the whole table.
struct RowRelayRequest {
  std::string table;

  friend bool operator==(const RowRelayRequest&, const RowRelayRequest&) = default;
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

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/store_version.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Messages with which hosts share the content of the store, the state of targets
// and configurations.

enum class MemberState : std::uint8_t {
  kAlive,
  kLeaving,
  // Connections from this host to it fail.
  kUnreachable,
};

// A host as registered in the platform's store.
struct MemberRecord {
  HostId host{};
  std::string name;
  // Peer address, IP:port.
  std::string address;
  DomainId domain{};
  // Wall clock time of the start in milliseconds. A restarted host normally has a
  // higher incarnation.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // CPU time that the host may use, in thousandths of a core.
  std::uint32_t capacity = 0;
  // Bandwidth of the host's link; 0 if unknown.
  std::uint32_t link_mbps = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// A target known to be leaving.
struct LeavingTarget {
  TargetId target{};
  // Time until the notice expires.
  Duration remaining{};

  friend bool operator==(const LeavingTarget&, const LeavingTarget&) = default;
};

// Target crashes that requests with this fingerprint are suspected to have caused.
// `kills` holds one id per crash, computed by CrashFingerprintRegistry (upper half: hash of
// the target, lower half: hash of the attempt), so that merging a record twice
// counts it once.
struct FingerprintRecord {
  Fingerprint fingerprint{};
  ServiceId service{};
  std::vector<AttemptId> kills;
  Duration remaining{};

  friend bool operator==(const FingerprintRecord&, const FingerprintRecord&) = default;
};

// Observations of a host that are not in the store.
struct Notices {
  std::vector<LeavingTarget> leaving_targets;
  std::vector<FingerprintRecord> fingerprints;

  friend bool operator==(const Notices&, const Notices&) = default;
};

struct TableVersion {
  std::string table;
  // Version of the last relevant change of the table.
  StoreVersion version;

  friend bool operator==(const TableVersion&, const TableVersion&) = default;
};

// What the sender knows of the store. The store reader of a failure domain sends it regularly, and
// its receivers forward what they know to others. Also sent in reply to a host with older data, and
// while the store does not answer.
struct StoreDigest {
  // Peer address of the sender, for receivers that do not know it yet.
  std::string address;
  // True if the sender is the store reader of its domain and the store answered its
  // last read.
  bool store_answered = false;
  std::uint64_t configuration_revision = 0;
  std::vector<TableVersion> tables;
  // The host that read the store last, as far as the sender knows; HostId{} if the store did not
  // answer the sender, or the sender is of an earlier version.
  HostId reader{};
  // Time since `reader` knew that nothing in the store was newer than this digest.
  Duration age{};
  // The sender asks for the receiver's digest.
  bool asks = false;
  // Time of the store up to which `configuration_revision` is known to be the newest one there.
  std::optional<StoreTimePoint> confirmed_store_time;

  friend bool operator==(const StoreDigest&, const StoreDigest&) = default;
};

struct RelayedRow {
  std::string key;
  StoreVersion version;
  std::string value;
  bool removed = false;

  friend bool operator==(const RelayedRow&, const RelayedRow&) = default;
};

// Rows of a table of the store, relayed by the sender.
struct RowRelay {
  std::string table;
  // The rows are the changes since this version, which is of the same era as `version`, or the
  // whole table if it is zero.
  StoreVersion base_version;
  StoreVersion version;
  std::vector<RelayedRow> rows;

  friend bool operator==(const RowRelay&, const RowRelay&) = default;
};

// Requests the whole table.
struct RowRelayRequest {
  std::string table;

  friend bool operator==(const RowRelayRequest&, const RowRelayRequest&) = default;
};

// Announces a configuration revision. The receiver requests the document if the
// revision is newer than its own.
struct ConfigurationOffer {
  std::uint64_t revision = 0;

  friend bool operator==(const ConfigurationOffer&, const ConfigurationOffer&) = default;
};

// Requests the receiver's configuration document if it is newer than
// `known_revision`.
struct ConfigurationRequest {
  std::uint64_t known_revision = 0;
  // True if the response may be a CompressedConfigurationDocument. Hosts of earlier versions do not
  // set it.
  bool accepts_compressed = true;

  friend bool operator==(const ConfigurationRequest&, const ConfigurationRequest&) = default;
};

// A committed configuration with its audit metadata.
struct ConfigurationDocument {
  std::uint64_t revision = 0;
  std::uint64_t base_revision = 0;
  std::string change_id;
  std::string author;
  // Milliseconds since the Unix epoch.
  std::uint64_t committed_at_ms = 0;
  // Configuration as JSON text, as submitted by the operator.
  std::string content;

  friend bool operator==(const ConfigurationDocument&, const ConfigurationDocument&) = default;
};

// A document with compressed content, see document_compression.h.
struct CompressedConfigurationDocument {
  // Its content is empty.
  ConfigurationDocument document;
  // Size of the content before compression.
  std::uint32_t content_bytes = 0;
  std::string compressed_content;

  friend bool operator==(const CompressedConfigurationDocument&,
                         const CompressedConfigurationDocument&) = default;
};

}  // namespace pimentopin

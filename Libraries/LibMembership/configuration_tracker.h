#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Action: put this document in force.
struct AdoptConfiguration {
  ConfigurationDocument document;

  friend bool operator==(const AdoptConfiguration&, const AdoptConfiguration&) = default;
};

// Action: read row configuration/current of the table and call OnTableRow.
struct PollTable {
  friend bool operator==(const PollTable&, const PollTable&) = default;
};

using ConfigurationAction = std::variant<SendToHost, AdoptConfiguration, PollTable>;

// Spreads configurations between hosts and decides when to read the table.
// Only a higher revision is ever adopted.
class ConfigurationTracker {
 public:
  // Readers per failure domain that poll the table at kReaderInterval.
  static constexpr std::size_t kReadersPerDomain = 2;
  static constexpr Duration kReaderInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMinOtherInterval = std::chrono::seconds(2);
  // Peers that an adopted document is pushed to.
  static constexpr std::size_t kPushFanout = 4;
  // Larger documents are first offered, so that each crosses the network about
  // once per host instead of up to four times.
  static constexpr std::size_t kMaxPushedContentBytes = 4096;
  // A starting host collects documents for this long and adopts the highest.
  static constexpr Duration kStartWindow = std::chrono::seconds(1);

  ConfigurationTracker(HostId self, DomainId domain, RandomSource& random);

  // Alive members with their domains and revisions.
  void SetMembers(std::vector<MemberRecord> members);
  // A committed document: from the own commit, the table and object store, or a peer.
  std::vector<ConfigurationAction> OnDocument(TimePoint now, const ConfigurationDocument& document);
  std::vector<ConfigurationAction> OnOffer(TimePoint now,
                                           HostId sender,
                                           const ConfigurationOffer& offer);
  std::vector<ConfigurationAction> OnRequest(TimePoint now,
                                             HostId sender,
                                             const ConfigurationRequest& request);
  // A member's gossiped revision. A host that is behind gets the document.
  std::vector<ConfigurationAction> OnRevisionSeen(TimePoint now,
                                                  HostId host,
                                                  std::uint64_t revision);
  // The table answered; keeps the host from counting as isolated.
  void OnTableAnswered(TimePoint now);
  // Call every 100 ms.
  std::vector<ConfigurationAction> Tick(TimePoint now);

  // 0 if none is in force.
  std::uint64_t revision() const {
    return this->current ? this->current->revision : std::uint64_t{0};
  }
  const std::optional<ConfigurationDocument>& document() const { return this->current; }
  bool HeardTableWithin(TimePoint now, Duration window) const;

 private:
  struct Peer {
    DomainId domain{};
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    // Last document or offer sent because the peer was behind.
    std::optional<TimePoint> pushed_at;
    std::uint64_t pushed_revision = 0;
  };

  bool Starting(TimePoint now);
  std::vector<ConfigurationAction> Adopt(TimePoint now, const ConfigurationDocument& adopted);
  Message PushMessage() const;
  std::vector<ConfigurationAction> PullFrom(TimePoint now, HostId host, std::uint64_t revision);
  Duration PollInterval() const;

  HostId self;
  DomainId domain;
  RandomSource& random;
  std::map<HostId, Peer> peers;
  std::optional<ConfigurationDocument> current;
  // Highest document received in the start window.
  std::optional<ConfigurationDocument> candidate;
  std::optional<TimePoint> started_at;
  std::optional<TimePoint> table_answered_at;
  std::optional<TimePoint> last_poll;
  std::optional<TimePoint> pulled_at;
  // Highest revision asked for.
  std::uint64_t pulled_revision = 0;
  bool asked_seeds = false;
};

}  // namespace pimentopin

#pragma once

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
  // A member's gossiped revision.
  std::vector<ConfigurationAction> OnRevisionSeen(TimePoint now,
                                                  HostId host,
                                                  std::uint64_t revision);
  // The table answered; keeps the host from counting as isolated.
  void OnTableAnswered(TimePoint now);
  // Call every 100 ms.
  std::vector<ConfigurationAction> Tick(TimePoint now);

  // 0 if none is in force.
  std::uint64_t revision() const;
  const std::optional<ConfigurationDocument>& document() const;
  bool HeardTableWithin(TimePoint now, Duration window) const;
};

}  // namespace pimentopin

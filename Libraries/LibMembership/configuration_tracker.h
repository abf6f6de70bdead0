#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Action: adopt this document as the current configuration.
struct AdoptConfiguration {
  ConfigurationDocument document;

  friend bool operator==(const AdoptConfiguration&, const AdoptConfiguration&) = default;
};

using ConfigurationAction = std::variant<SendToHost, AdoptConfiguration>;

enum class DocumentSource {
  // Read from or written to the store by this host, for all hosts.
  kStore,
  // Read from the store because no other host sent it. The others read it themselves.
  kStoreForSelf,
  kPeer,
};

// Distributes configuration documents between hosts. Only a higher revision is
// ever adopted. A document from the store is pushed within this host's failure
// domain and offered to kRelaysPerDomain hosts of each other domain, which
// forward it within theirs.
class ConfigurationTracker {
 public:
  static constexpr std::size_t kRelaysPerDomain = 2;
  // Larger documents are offered instead of pushed, so that each host receives
  // the content about once.
  static constexpr std::size_t kMaxPushedContentBytes = 4096;
  // A starting host collects documents from peers for this long before it adopts
  // the one with the highest revision.
  static constexpr Duration kStartupWindow = std::chrono::seconds(1);

  ConfigurationTracker(HostId self, DomainId domain);

  // Sets all known hosts, this one included.
  void SetMembers(const std::vector<MemberRecord>& members);
  // Handles a committed document. Lower or equal revisions are ignored.
  std::vector<ConfigurationAction> OnDocument(TimePoint now,
                                              const ConfigurationDocument& document,
                                              DocumentSource source);
  // Handles the announcement that `host` has this revision.
  std::vector<ConfigurationAction> OnRevisionSeen(TimePoint now,
                                                  HostId host,
                                                  std::uint64_t revision);
  std::vector<ConfigurationAction> OnRequest(HostId sender, const ConfigurationRequest& request);
  // Adopts the best document of the startup window once the window has ended, and repeats a request
  // that was not answered at another host.
  std::vector<ConfigurationAction> Tick(TimePoint now);
  // Time of the next required Tick; std::nullopt if none is required.
  std::optional<TimePoint> next_deadline() const;

  // 0 if no document has been adopted.
  std::uint64_t revision() const {
    return this->current ? this->current->revision : std::uint64_t{0};
  }
  const std::optional<ConfigurationDocument>& document() const { return this->current; }

 private:
  std::vector<ConfigurationAction> Adopt(const ConfigurationDocument& adopted,
                                         DocumentSource source);
  // The hosts that forward documents within a failure domain.
  std::vector<HostId> RelayHosts(DomainId relay_domain) const;
  // The current document, or an offer of it if its content exceeds kMaxPushedContentBytes.
  Message DocumentOrOffer() const;

  HostId self;
  DomainId domain;
  // Reachable hosts, this one included.
  std::map<DomainId, std::vector<MemberRecord>> members_by_domain;
  std::optional<ConfigurationDocument> current;
  // `current` with compressed content, once a host has requested it.
  std::optional<CompressedConfigurationDocument> compressed_current;
  // Document with the highest revision received in the startup window.
  std::optional<ConfigurationDocument> candidate;
  std::optional<TimePoint> candidate_deadline;
  // Requests the document from the host that was asked longest ago, of those that have a newer one.
  std::vector<ConfigurationAction> RequestNext(TimePoint now);
  // The highest revision received, adopted or not.
  std::uint64_t received_revision() const;

  struct Offer {
    std::uint64_t revision = 0;
    std::optional<TimePoint> requested_at;
  };
  // Hosts that announced a newer revision than the current one.
  std::map<HostId, Offer> offers;
  std::optional<TimePoint> last_request_at;
};

}  // namespace pimentopin

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/findings.h"
#include "Libraries/LibHost/audit_trail.h"
#include "Libraries/LibHost/configuration_source.h"
#include "Libraries/LibHost/configuration_store.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/store_relay.h"
#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {

// Adopts configurations received from commits, the platform and peers, and publishes them
// together with the registered targets.
class ConfigurationController {
 public:
  // Returns the current time on the control thread.
  using Clock = std::function<TimePoint()>;
  // Parses the content of a document. Returns std::nullopt and adds findings if it is
  // invalid.
  using Parser =
      std::function<std::optional<Configuration>(const ConfigurationDocument&, Findings&)>;

  struct Settings {
    HostId self{};
    DomainId domain{};
    Parser parser;
    // False if the platform's operator writes the configuration.
    bool accepts_commits = true;
    Clock clock;
  };

  ConfigurationController(ControlLoop& loop,
                          SharedState& shared_state,
                          PeerNetwork& peers,
                          ConfigurationSource& source,
                          ConfigurationStore& store,
                          Settings settings);

  void OnRequest(HostId sender, const ConfigurationRequest& request);
  void OnDocument(const ConfigurationDocument& document, DocumentSource source);
  // Call when `host` is known to have `revision`.
  void OnCompressedDocument(const CompressedConfigurationDocument& compressed);
  void OnRevisionSeen(HostId host, std::uint64_t revision);
  // Reads the newest configuration. `done` receives the error of ConfigurationSource::ReadNewest.
  void ReadNewest(const ReadNewestConfiguration& read,
                  std::function<void(const Error& error)> done);

  // The parser must have accepted the document.
  void Commit(ConfigurationDocument document, ConfigurationStore::CommitCallback callback);

  const AuditTrail& audit_trail() const { return this->trail; }
  const Settings& configuration_settings() const { return this->settings; }

 private:
  void Execute(const std::vector<ConfigurationAction>& actions);
  void Adopt(const ConfigurationDocument& document);
  // Makes the adopted configuration, combined with the registered targets, the active one.
  void Publish();

  SharedState& shared_state;
  PeerNetwork& peers;
  ConfigurationSource& source;
  ConfigurationStore& store;
  const Settings settings;
  ConfigurationTracker tracker;
  std::unique_ptr<Alarm> alarm;
  AuditTrail trail;
  // As adopted, without the registered targets.
  std::optional<Configuration> adopted;
};

}  // namespace pimentopin

#include "Libraries/LibHost/configuration_controller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibCore/json_log.h"

namespace pimentopin {

ConfigurationController::ConfigurationController(Blackboard& board,
                                                 PeerNetwork& peers,
                                                 ConfigurationStore& store,
                                                 HostId self,
                                                 DomainId domain,
                                                 RandomSource& random,
                                                 Clock clock)
    : board(board),
      peers(peers),
      store(store),
      clock(std::move(clock)),
      tracker(self, domain, random) {
  this->board.members.Observe(
      [this](const std::vector<MemberRecord>& members) { this->tracker.SetMembers(members); });
}

void ConfigurationController::OnOffer(HostId sender, const ConfigurationOffer& offer) {
  this->Execute(this->tracker.OnOffer(this->clock(), sender, offer));
}

void ConfigurationController::OnRequest(HostId sender, const ConfigurationRequest& request) {
  this->Execute(this->tracker.OnRequest(this->clock(), sender, request));
}

void ConfigurationController::OnDocument(const ConfigurationDocument& document) {
  this->Execute(this->tracker.OnDocument(this->clock(), document));
}

void ConfigurationController::OnRevisionSeen(HostId host, std::uint64_t revision) {
  this->Execute(this->tracker.OnRevisionSeen(this->clock(), host, revision));
}

void ConfigurationController::Tick() {
  this->Execute(this->tracker.Tick(this->clock()));
}

bool ConfigurationController::HeardTableWithin(Duration window) const {
  return this->tracker.HeardTableWithin(this->clock(), window);
}

void ConfigurationController::Commit(ConfigurationDocument document,
                                     ConfigurationStore::CommitCallback callback) {
  this->store.Commit(std::move(document),
                     [this, callback = std::move(callback)](const CommitResult& result) {
                       if (result.status == CommitStatus::kCommitted) {
                         this->OnDocument(*result.document);
                       }
                       callback(result);
                     });
}

void ConfigurationController::Execute(const std::vector<ConfigurationAction>& actions) {
  for (const ConfigurationAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      this->peers.Send(send->host, send->message);
    } else if (const auto* adopt = std::get_if<AdoptConfiguration>(&action)) {
      this->Adopt(adopt->document);
    } else {
      this->Poll();
    }
  }
}

void ConfigurationController::Adopt(const ConfigurationDocument& document) {
  Findings findings;
  std::optional<Configuration> configuration =
      ReadConfiguration(document.content, document.revision, findings);
  if (!configuration) {
    // Only checked documents are committed, so this is a host of another version.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"revision", document.revision}, {"findings", findings.ToText()}});
    return;
  }
  const auto before = this->board.configuration.Read();
  this->trail.Record(before.get(), *configuration, document);
  this->board.document.Write(document);
  this->board.configuration.Write(std::move(*configuration));
}

void ConfigurationController::Poll() {
  if (this->poll_in_progress) {
    return;
  }
  this->poll_in_progress = true;
  this->store.ReadNewest(
      this->tracker.revision(), [this](const auto& document, const Error& error) {
        this->poll_in_progress = false;
        if (error.code != ErrorCode::kNone) {
          Log(LogLevel::kDebug, "configuration_poll_failed", {{"error", error.message}});
          return;
        }
        this->tracker.OnTableAnswered(this->clock());
        if (document) {
          this->OnDocument(*document);
        }
      });
}

}  // namespace pimentopin

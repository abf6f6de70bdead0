#include "Libraries/LibHost/configuration_controller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibConfig/document_scanner.h"
#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibProtocol/document_compression.h"

namespace pimentopin {
namespace {

constexpr std::size_t kMaxLoggedNoteBytes = 1024;

}  // namespace

ConfigurationController::ConfigurationController(ControlLoop& loop,
                                                 SharedState& shared_state,
                                                 PeerNetwork& peers,
                                                 ConfigurationSource& source,
                                                 ConfigurationStore& store,
                                                 Settings controller_settings)
    : shared_state(shared_state),
      peers(peers),
      source(source),
      store(store),
      settings(std::move(controller_settings)),
      tracker(this->settings.self, this->settings.domain),
      alarm(
          loop.CreateAlarm([this] { this->Execute(this->tracker.Tick(this->settings.clock())); })) {
  this->shared_state.members.Observe(
      [this](const std::vector<MemberRecord>& members) { this->tracker.SetMembers(members); });
  this->shared_state.registered_targets.Observe(
      [this](const std::vector<RegisteredTarget>&) { this->Publish(); });
}

void ConfigurationController::OnRequest(HostId sender, const ConfigurationRequest& request) {
  this->Execute(this->tracker.OnRequest(sender, request));
}

void ConfigurationController::OnDocument(const ConfigurationDocument& document,
                                         DocumentSource document_source) {
  this->Execute(this->tracker.OnDocument(this->settings.clock(), document, document_source));
}

void ConfigurationController::OnCompressedDocument(
    const CompressedConfigurationDocument& compressed) {
  // Hosts offer a document repeatedly, and one with a known revision need not be decompressed.
  if (compressed.document.revision <= this->tracker.revision()) {
    return;
  }
  Error error;
  const std::optional<ConfigurationDocument> document = Decompress(compressed, error);
  if (!document) {
    Log(LogLevel::kError, "configuration_unreadable",
        {{"revision", compressed.document.revision}, {"findings", error.message}});
    return;
  }
  this->OnDocument(*document, DocumentSource::kPeer);
}

void ConfigurationController::OnRevisionSeen(HostId host, std::uint64_t revision) {
  this->Execute(this->tracker.OnRevisionSeen(this->settings.clock(), host, revision));
}

void ConfigurationController::ReadNewest(const ReadNewestConfiguration& read,
                                         std::function<void(const Error&)> done) {
  const DocumentSource document_source =
      read.for_domain ? DocumentSource::kStore : DocumentSource::kStoreForSelf;
  this->source.ReadNewest(
      this->tracker.revision(), read.may_wait,
      [this, document_source, done = std::move(done)](const auto& document, const Error& error) {
        if (error.code != ErrorCode::kNone) {
          Log(LogLevel::kInfo, "configuration_read_failed", {{"error", error.message}});
        } else if (document) {
          this->OnDocument(*document, document_source);
        }
        done(error);
      });
}

void ConfigurationController::Commit(ConfigurationDocument document,
                                     ConfigurationStore::CommitCallback callback) {
  if (!this->settings.accepts_commits) {
    callback({.status = CommitStatus::kNotCommitted,
              .document = std::nullopt,
              .message = "the configuration is written by the platform's operator"});
    return;
  }
  this->store.Commit(std::move(document),
                     [this, callback = std::move(callback)](const CommitResult& result) {
                       if (result.status == CommitStatus::kCommitted) {
                         this->OnDocument(*result.document, DocumentSource::kStore);
                       }
                       callback(result);
                     });
}

void ConfigurationController::Execute(const std::vector<ConfigurationAction>& actions) {
  for (const ConfigurationAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      if (std::holds_alternative<ConfigurationRequest>(send->message)) {
        Log(LogLevel::kInfo, "configuration_requested",
            {{"known_revision", this->tracker.revision()}, {"host", RawId(send->host)}});
      }
      this->peers.Send(send->host, send->message);
    } else if (const auto* adopt = std::get_if<AdoptConfiguration>(&action)) {
      this->Adopt(adopt->document);
    }
  }
  if (const auto next = this->tracker.next_deadline()) {
    this->alarm->Set(*next);
  }
}

void ConfigurationController::Adopt(const ConfigurationDocument& document) {
  Findings findings;
  std::optional<Configuration> configuration = this->settings.parser(document, findings);
  if (!configuration) {
    // Documents are validated before they are committed, so a host of another software
    // version must have committed this one.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"revision", document.revision}, {"findings", findings.ToText()}});
    return;
  }
  if (!findings.notes().empty()) {
    Log(LogLevel::kWarning, "configuration_partly_unknown",
        {{"revision", document.revision},
         {"notes", Truncate(findings.NotesToText(), kMaxLoggedNoteBytes)}});
  }
  const std::optional<Configuration> previous =
      std::exchange(this->adopted, std::move(configuration));
  this->shared_state.document.Write(document);
  this->Publish();
  // After the change is active, because the comparison of large configurations takes long.
  this->trail.Record(previous ? &*previous : nullptr, *this->adopted, document);
}

void ConfigurationController::Publish() {
  if (!this->adopted) {
    return;
  }
  const auto registered = this->shared_state.registered_targets.Read();
  if (registered && !registered->empty()) {
    this->shared_state.configuration.Write(WithRegisteredTargets(*this->adopted, *registered));
  } else {
    this->shared_state.configuration.Write(*this->adopted);
  }
}

}  // namespace pimentopin

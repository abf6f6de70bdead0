#include "Tests/LibMembership/simulated_fleet.h"

#include <algorithm>
#include <stdexcept>

#include "Libraries/LibProtocol/codec.h"
#include "Libraries/LibProtocol/document_compression.h"

namespace pimentopin {
namespace {

constexpr const char* kHostTable = "hosts";
constexpr const char* kTargetTable = "targets";
constexpr Duration kUnreachableAfter = std::chrono::seconds(1);
constexpr Duration kRemoveAfter = std::chrono::seconds(2);
// TCP_USER_TIMEOUT of OutgoingLink.
constexpr Duration kSilenceTimeout = std::chrono::seconds(2);
// Interval at which a call looks for changes and for the end of its connection.
constexpr Duration kStoreCallStep = std::chrono::milliseconds(10);

std::vector<StoreRelay::Table> Tables() {
  const auto differs = [](const std::string& before, const std::string& after) {
    // The part after '#' is a heartbeat.
    return before.substr(0, before.find('#')) != after.substr(0, after.find('#'));
  };
  return {{.name = kHostTable, .is_relevant_change = differs},
          {.name = kTargetTable,
           .polled = true,
           .defers_removals = true,
           .is_relevant_change = differs,
           .needs_confirmation = [](const FeedRow& row) {
             return !row.value.starts_with("draining");
           }}};
}

}  // namespace

SimulatedFleet::Host::Host(const MemberRecord& record, bool configuration_polled)
    : directory(record),
      relay(record.host, record.address, Tables(), configuration_polled),
      tracker(record.host, record.domain) {}

SimulatedFleet::SimulatedFleet(std::uint64_t seed) : random(seed) {}

void SimulatedFleet::StartHosts(std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    this->Start("entry-" + std::to_string(index), 1'800'000'000'000 + index);
  }
}

HostId SimulatedFleet::Start(const std::string& name,
                             std::uint64_t incarnation,
                             std::string address) {
  MemberRecord record;
  record.host = IdFromName<HostId>(name);
  record.name = name;
  // As long as real addresses, so that the counted bytes are realistic.
  record.address = !address.empty() ? std::move(address)
                                    : "10.20.130." + std::to_string(this->start_count % 250) + ":" +
                                          std::to_string(20000 + this->start_count);
  record.domain = DomainId{DomainOf(name)};
  record.incarnation = incarnation;
  record.capacity = this->capacity_of(name);
  ++this->start_count;
  const auto host = std::make_shared<Host>(record, !this->long_polls);
  this->hosts[record.host] = host;
  const auto phase = static_cast<Duration::rep>(this->random.Below(100'000));
  this->Schedule(this->now + Duration(phase),
                 [this, weak_host = std::weak_ptr(host)] { this->Tick(weak_host); });
  return record.host;
}

void SimulatedFleet::Stop(HostId host) {
  this->hosts.erase(host);
}

void SimulatedFleet::Pause(HostId host) {
  this->hosts.at(host)->paused = true;
}

void SimulatedFleet::Resume(HostId host) {
  const auto resumed = this->hosts.at(host);
  resumed->paused = false;
  // A resumed process handles expired timers and buffered input in any order.
  std::shuffle(resumed->deferred_events.begin(), resumed->deferred_events.end(),
               this->random.generator());
  for (const auto& run : std::exchange(resumed->deferred_events, {})) {
    run();
  }
}

void SimulatedFleet::SetLeaving(HostId host) {
  Host& leaving_host = *this->hosts.at(host);
  leaving_host.directory.SetSelfLeaving();
  leaving_host.next_registration = {};
  this->UpdateDirectory(leaving_host);
  this->Register(leaving_host);
}

void SimulatedFleet::BroadcastNotices(HostId host) {
  // Real hosts repeat each notice three times as well.
  for (int repeat = 0; repeat < 4; ++repeat) {
    this->Schedule(this->now + std::chrono::milliseconds(600) * repeat,
                   [this, host] { this->SendNotices(host); });
  }
}

void SimulatedFleet::SendNotices(HostId host) {
  Host& from = *this->hosts.at(host);
  const Notices notices{.leaving_targets = from.leaving_targets.Notices(this->now, 8),
                        .fingerprints = {}};
  for (const MemberRecord& member : from.directory.Members()) {
    if (member.host != host) {
      this->Send(from, member.host, notices);
    }
  }
}

void SimulatedFleet::WriteTarget(const std::string& name, const std::string& value) {
  this->WriteRow(kTargetTable, name, value);
}

void SimulatedFleet::RemoveTarget(const std::string& name) {
  this->WriteRow(kTargetTable, name, std::nullopt);
}

void SimulatedFleet::WriteRow(const std::string& table,
                              const std::string& key,
                              std::optional<std::string> value) {
  this->tables[table][key] = {++this->version, value.value_or(""), !value.has_value()};
}

void SimulatedFleet::TakeStoreCopy() {
  this->copy = {this->tables, this->version, this->stored_document};
}

void SimulatedFleet::ReturnFromStoreCopy() {
  this->tables = this->copy.tables;
  this->version = this->copy.version;
  this->stored_document = this->copy.document;
  ++this->era;
}

void SimulatedFleet::SilenceConnections() {
  for (const auto& [from, sender] : this->hosts) {
    for (const auto& [to, receiver] : this->hosts) {
      this->silent_connections[{from, to}].reset();
    }
  }
}

void SimulatedFleet::SilenceStoreConnections(double share) {
  for (const auto& [id, host] : this->hosts) {
    if (this->random.Unit() >= share) {
      continue;
    }
    for (const auto& connection : host->busy_store_connections) {
      connection->silent_since = connection->silent_since.value_or(this->now);
    }
    for (const auto& connection : host->idle_store_connections) {
      connection->silent_since = connection->silent_since.value_or(this->now);
    }
  }
}

bool SimulatedFleet::IsSilent(HostId from, HostId to) {
  const auto connection = this->silent_connections.find({from, to});
  if (connection == this->silent_connections.end()) {
    return false;
  }
  const TimePoint first_lost = connection->second.value_or(this->now);
  connection->second = first_lost;
  if (this->now - first_lost < kSilenceTimeout) {
    return true;
  }
  this->silent_connections.erase(connection);
  return false;
}

void SimulatedFleet::RunFor(Duration duration) {
  const TimePoint end = this->now + duration;
  while (this->Step(end)) {
  }
  this->now = end;
}

std::optional<Duration> SimulatedFleet::RunUntil(const std::function<bool()>& condition,
                                                 Duration limit) {
  const TimePoint start = this->now;
  while (!condition()) {
    if (this->now - start > limit) {
      return std::nullopt;
    }
    this->RunFor(std::chrono::milliseconds(20));
  }
  return this->now - start;
}

void SimulatedFleet::Schedule(TimePoint at, std::function<void()> run) {
  this->events.push({at, this->sequence++, std::move(run)});
}

bool SimulatedFleet::Step(TimePoint limit) {
  if (this->events.empty() || this->events.top().at > limit) {
    return false;
  }
  const Event event = this->events.top();
  this->events.pop();
  this->now = event.at;
  event.run();
  return true;
}

void SimulatedFleet::RunOnHost(const std::weak_ptr<Host>& weak_host,
                               const std::function<void()>& run) {
  const auto host = weak_host.lock();
  if (host == nullptr) {
    return;
  }
  if (host->paused) {
    host->deferred_events.push_back(run);
    return;
  }
  run();
}

void SimulatedFleet::Tick(const std::weak_ptr<Host>& weak_host) {
  this->RunOnHost(weak_host, [this, weak_host] {
    const auto host = weak_host.lock();
    host->leaving_targets.Tick(this->now);
    const bool any_failing = !host->failing_since.empty();
    // Connections to failed hosts are retried.
    std::erase_if(host->failing_since, [this, &host](const auto& entry) {
      return this->ReachesAddress(*host, entry.first);
    });
    for (const MemberRecord& member :
         any_failing ? host->directory.Members() : std::vector<MemberRecord>()) {
      const auto failing = host->failing_since.find(member.host);
      const bool unreachable =
          failing != host->failing_since.end() && this->now - failing->second >= kUnreachableAfter;
      if (unreachable != (member.state == MemberState::kUnreachable)) {
        host->directory.SetUnreachable(member.host, unreachable);
        this->UpdateDirectory(*host);
      }
    }
    this->RefreshConfirmedStoreTime(*host);
    this->Execute(*host, host->relay.Tick(this->now));
    this->Execute(*host, host->tracker.Tick(this->now));
    this->Register(*host);
    this->RemoveFailedHosts(*host);
    this->Schedule(this->now + std::chrono::milliseconds(50),
                   [this, weak_host] { this->Tick(weak_host); });
  });
}

void SimulatedFleet::UpdateDirectory(Host& host) {
  host.relay.SetHosts(host.directory.self().domain, host.directory.RankedHostsByDomain());
  host.tracker.SetMembers(host.directory.Members());
}

BootTimePoint SimulatedFleet::BootTime(HostId host, TimePoint at) const {
  return BootTimePoint(at.time_since_epoch() + std::chrono::seconds(RawId(host) % 1'000'000));
}

void SimulatedFleet::Confirm(Host& host, const ConfigurationConfirmation& confirmation) {
  host.lease.Confirm(this->BootTime(host.directory.self().host, this->now), confirmation);
}

void SimulatedFleet::RefreshConfirmedStoreTime(Host& host) const {
  if (!this->has_revocation_time) {
    return;
  }
  host.relay.SetConfirmedStoreTime(
      host.lease.ConfirmedAt(this->BootTime(host.directory.self().host, this->now)));
}

bool SimulatedFleet::AcceptsKeys(HostId host) const {
  return this->hosts.at(host)->lease.term().Covers(this->BootTime(host, this->now));
}

bool SimulatedFleet::ReachesAddress(const Host& from, HostId to) const {
  const auto receiver = this->hosts.find(to);
  if (receiver == this->hosts.end()) {
    return false;
  }
  const std::string& address = receiver->second->directory.self().address;
  const auto learned = from.learned_addresses.find(to);
  if (learned != from.learned_addresses.end() && learned->second == address) {
    return true;
  }
  const MemberRecord* const known = from.directory.Find(to);
  return known != nullptr && known->address == address;
}

void SimulatedFleet::Send(Host& from, HostId to, Message message) {
  const HostId sender = from.directory.self().host;
  std::size_t frame_bytes = 0;
  if (this->use_codec || this->link_bytes_per_second) {
    const std::string frame =
        EncodeFrame({sender, from.directory.self().domain, std::move(message)});
    frame_bytes = frame.size();
    from.bytes_sent += frame_bytes;
    Error error;
    const auto decoded = DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), error);
    if (!decoded) {
      throw std::runtime_error(error.message);
    }
    message = decoded->message;
  }
  const auto receiver = this->hosts.find(to);
  if (!this->ReachesAddress(from, to)) {
    from.failing_since.emplace(to, this->now);
    return;
  }
  if (this->IsSilent(sender, to) || this->random.Unit() < this->loss_rate ||
      this->cut_paths.contains({sender, to}) ||
      (this->message_filter && !this->message_filter(sender, to, message))) {
    return;
  }
  const auto delay =
      500 + this->random.Below(static_cast<std::uint64_t>(this->max_latency.count()));
  const TimePoint sent_at = this->TransferOver(sender, from.upload_free_at, frame_bytes);
  const TimePoint received_at =
      std::max(sent_at, this->TransferOver(to, receiver->second->download_free_at, frame_bytes));
  this->Schedule(
      received_at + Duration(static_cast<Duration::rep>(delay)),
      [this, sender, weak_host = std::weak_ptr(receiver->second), message = std::move(message)] {
        this->RunOnHost(weak_host, [this, sender, weak_host, message] {
          this->Deliver(*weak_host.lock(), sender, message);
        });
      });
}

TimePoint SimulatedFleet::TransferOver(HostId host,
                                       TimePoint& link_free_at,
                                       std::size_t bytes) const {
  if (!this->link_bytes_per_second) {
    return this->now;
  }
  const double seconds = static_cast<double>(bytes) / this->link_bytes_per_second(host);
  link_free_at =
      std::max(this->now, link_free_at) + Duration(static_cast<Duration::rep>(seconds * 1e6));
  return link_free_at;
}

void SimulatedFleet::Deliver(Host& host, HostId sender, const Message& message) {
  if (const auto* digest = std::get_if<StoreDigest>(&message)) {
    host.learned_addresses[sender] = digest->address;
    if (digest->confirmed_store_time) {
      this->Confirm(
          host, {.at = *digest->confirmed_store_time, .revision = digest->configuration_revision});
    }
    this->RefreshConfirmedStoreTime(host);
    this->Execute(host, host.relay.OnDigest(this->now, sender, *digest));
  } else if (const auto* rows = std::get_if<RowRelay>(&message)) {
    this->Execute(host, host.relay.OnRelay(this->now, sender, *rows));
  } else if (const auto* relay_request = std::get_if<RowRelayRequest>(&message)) {
    this->Execute(host, host.relay.OnRelayRequest(this->now, sender, *relay_request));
  } else if (const auto* notices = std::get_if<Notices>(&message)) {
    host.leaving_targets.Merge(this->now, notices->leaving_targets);
  } else if (const auto* offer = std::get_if<ConfigurationOffer>(&message)) {
    this->Execute(host, host.tracker.OnRevisionSeen(this->now, sender, offer->revision));
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&message)) {
    this->Execute(host, host.tracker.OnRequest(sender, *request));
  } else if (const auto* document = std::get_if<ConfigurationDocument>(&message)) {
    this->Execute(host, host.tracker.OnDocument(this->now, *document, DocumentSource::kPeer));
  } else if (const auto* compressed = std::get_if<CompressedConfigurationDocument>(&message)) {
    Error error;
    const auto restored = Decompress(*compressed, error);
    if (!restored) {
      throw std::runtime_error(error.message);
    }
    this->Execute(host, host.tracker.OnDocument(this->now, *restored, DocumentSource::kPeer));
  }
}

void SimulatedFleet::Execute(Host& host, const std::vector<ConfigurationAction>& actions) {
  for (const ConfigurationAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      this->Send(host, send->host, send->message);
    } else if (const auto* adopt = std::get_if<AdoptConfiguration>(&action)) {
      const std::uint64_t revision = adopt->document.revision;
      this->revision_reverted =
          this->revision_reverted ||
          (!host.adopted_revisions.empty() && host.adopted_revisions.back() >= revision);
      host.adopted_revisions.push_back(revision);
      host.lease.SetActiveRevision(revision);
      host.relay.SetConfigurationRevision(this->now, revision);
    }
  }
}

void SimulatedFleet::Execute(Host& host, const std::vector<RelayAction>& actions) {
  for (const RelayAction& action : actions) {
    this->Execute(host, action);
  }
}

void SimulatedFleet::Execute(Host& host, const RelayAction& action) {
  const Error no_answer{ErrorCode::kUnreachable, "no answer"};
  if (const auto* send = std::get_if<SendToHost>(&action)) {
    this->Send(host, send->host, send->message);
  } else if (const auto* pull = std::get_if<PullConfiguration>(&action)) {
    this->Execute(host, host.tracker.OnRevisionSeen(this->now, pull->host, pull->revision));
  } else if (const auto* changed = std::get_if<RowsChanged>(&action)) {
    this->OnRows(host, changed->table, changed->rows);
  } else if (const auto* listed = std::get_if<ListTable>(&action)) {
    this->CallStore(host, [this, table = listed->table, no_answer](Host& reader, bool answered) {
      const auto batch = answered ? std::optional(this->ReadRows(table, 0, false)) : std::nullopt;
      this->Execute(reader,
                    reader.relay.OnRows(this->now, table, batch, answered ? Error{} : no_answer));
    });
  } else if (const auto* read = std::get_if<ReadChanges>(&action)) {
    this->CallStore(
        host,
        [this, query = *read, no_answer](Host& reader, bool answered) {
          const bool has_history = this->HasHistorySince(query.version);
          const Error error = !answered      ? no_answer
                              : !has_history ? Error{ErrorCode::kNotFound, "no history"}
                                             : Error{};
          const auto batch =
              answered && has_history
                  ? std::optional(this->ReadRows(query.table, query.version.number, true))
                  : std::nullopt;
          this->Execute(reader, reader.relay.OnRows(this->now, query.table, batch, error));
        },
        0, {.timeout = read->wait, .has_change = [this, query = *read] {
              return this->HasRowsAfter(query.table, query.version);
            }});
  } else if (const auto* newest = std::get_if<ReadNewestConfiguration>(&action)) {
    const DocumentSource source =
        newest->for_domain ? DocumentSource::kStore : DocumentSource::kStoreForSelf;
    const bool has_newer =
        this->stored_document && this->stored_document->revision > host.tracker.revision();
    this->CallStore(
        host,
        [this, source, no_answer](Host& reader, bool answered) {
          if (answered) {
            this->Confirm(reader, reader.last_response);
          }
          if (answered && this->stored_document) {
            this->Execute(reader,
                          reader.tracker.OnDocument(this->now, *this->stored_document, source));
          }
          reader.relay.OnConfigurationRead(this->now, answered ? Error{} : no_answer);
        },
        has_newer ? this->stored_document->content.size() : 0,
        {.timeout = newest->may_wait ? this->configuration_poll_timeout : Duration::zero(),
         .has_change = [this, known = host.tracker.revision()] {
           return this->stored_document && this->stored_document->revision > known;
         }});
  }
}

void SimulatedFleet::CallStore(Host& host,
                               std::function<void(Host&, bool)> on_result,
                               std::size_t response_bytes,
                               StoreWait wait) {
  ++host.store_calls;
  const HostId id = host.directory.self().host;
  const auto delay = static_cast<Duration::rep>(2000 + this->random.Below(20'000));
  if (!this->long_polls) {
    wait = {};
  }
  const auto call =
      std::make_shared<StoreCall>(StoreCall{.host = this->hosts.at(id),
                                            .connection = this->TakeStoreConnection(host),
                                            .started_at = this->now,
                                            .wait = std::move(wait),
                                            .on_result = std::move(on_result)});
  if (!this->store_up && this->silent_when_down) {
    this->Schedule(this->now + this->store_timeout,
                   [this, call] { this->EndStoreCall(*call, false); });
    return;
  }
  const TimePoint received_at = this->TransferOver(id, host.download_free_at, response_bytes);
  this->Schedule(received_at + Duration(delay), [this, call] { this->ContinueStoreCall(call); });
}

void SimulatedFleet::ContinueStoreCall(const std::shared_ptr<StoreCall>& call) {
  const auto host = call->host.lock();
  if (!host) {
    return;
  }
  const bool is_silent = call->connection->silent_since.has_value();
  const Duration elapsed = this->now - call->started_at;
  if (is_silent
          ? this->IsClosed(*call->connection) || elapsed >= this->store_timeout + call->wait.timeout
          : elapsed >= call->wait.timeout || call->wait.has_change()) {
    const HostId id = host->directory.self().host;
    this->EndStoreCall(*call, !is_silent && this->store_up && !this->unanswered_hosts.contains(id));
    return;
  }
  this->Schedule(this->now + kStoreCallStep, [this, call] { this->ContinueStoreCall(call); });
}

void SimulatedFleet::EndStoreCall(const StoreCall& call, bool answered) {
  const auto host = call.host.lock();
  if (!host) {
    return;
  }
  host->busy_store_connections.erase(call.connection);
  if (answered) {
    host->idle_store_connections.push_back(call.connection);
  }
  const ConfigurationConfirmation shown{
      .at = StoreTimePoint(this->now.time_since_epoch()),
      .revision = this->stored_document ? this->stored_document->revision : 0};
  this->RunOnHost(call.host, [this, weak_host = call.host, answered, shown,
                              started_at = call.started_at, on_result = call.on_result] {
    Host& caller = *weak_host.lock();
    if (answered) {
      const HostId id = caller.directory.self().host;
      caller.lease.ObserveStoreTime(this->BootTime(id, started_at), this->BootTime(id, this->now),
                                    shown.at);
      caller.last_response = shown;
    }
    on_result(caller, answered);
  });
}

std::shared_ptr<SimulatedFleet::StoreConnection> SimulatedFleet::TakeStoreConnection(
    Host& host) const {
  std::erase_if(host.idle_store_connections,
                [this](const auto& connection) { return this->IsClosed(*connection); });
  auto connection = std::make_shared<StoreConnection>();
  if (!host.idle_store_connections.empty()) {
    connection = host.idle_store_connections.back();
    host.idle_store_connections.pop_back();
  }
  host.busy_store_connections.insert(connection);
  return connection;
}

bool SimulatedFleet::IsClosed(const StoreConnection& connection) const {
  return connection.silent_since &&
         this->now - *connection.silent_since >= this->store_keep_alive_timeout;
}

bool SimulatedFleet::HasHistorySince(const StoreVersion& after) const {
  return after.era == this->era && after.number <= this->version;
}

bool SimulatedFleet::HasRowsAfter(const std::string& table, const StoreVersion& after) const {
  return !this->HasHistorySince(after) || !this->ReadRows(table, after.number, true).rows.empty();
}

FeedBatch SimulatedFleet::ReadRows(const std::string& table,
                                   std::uint64_t after,
                                   bool with_removed) const {
  FeedBatch batch{.rows = {}, .version = {this->version, this->era}};
  const auto found = this->tables.find(table);
  for (const auto& [key, row] : found == this->tables.end() ? Table() : found->second) {
    if (row.version > after && (with_removed || !row.removed)) {
      batch.rows.push_back({key, {row.version, this->era}, row.value, row.removed});
    }
  }
  return batch;
}

void SimulatedFleet::Register(Host& host) {
  if (host.registering || this->now < host.next_registration ||
      (host.directory.IsRegistered() &&
       !host.relay.RowVersion(kHostTable, host.directory.self().name).is_zero()) ||
      !host.relay.MayRegister(this->now)) {
    return;
  }
  host.registering = true;
  this->CallStore(host, [this](Host& writer, bool answered) {
    writer.registering = false;
    writer.next_registration = this->now + std::chrono::seconds(answered ? 5 : 1);
    if (answered) {
      const MemberRecord& self = writer.directory.self();
      this->WriteRow(kHostTable, self.name, EncodeHostRow(self));
    }
  });
}

void SimulatedFleet::RemoveFailedHosts(Host& host) {
  if (host.failing_since.empty() || !host.relay.IsReader(this->now) || !this->store_up) {
    return;
  }
  for (const MemberRecord& member : host.directory.Members()) {
    const auto failing = host.failing_since.find(member.host);
    if (member.domain == host.directory.self().domain && failing != host.failing_since.end() &&
        this->now - failing->second >= kRemoveAfter) {
      this->WriteRow(kHostTable, member.name, std::nullopt);
      host.failing_since.erase(failing);
      return;
    }
  }
}

void SimulatedFleet::OnRows(Host& host,
                            const std::string& table,
                            const std::vector<FeedRow>& rows) {
  if (table == kHostTable) {
    std::vector<std::string> errors;
    host.directory.Apply(rows, errors);
    for (const FeedRow& row : rows) {
      host.failing_since.erase(IdFromName<HostId>(row.key));
      if (!row.removed) {
        host.relay.Greet(IdFromName<HostId>(row.key));
      }
    }
    this->UpdateDirectory(host);
    return;
  }
  for (const FeedRow& row : rows) {
    if (row.removed) {
      host.targets.erase(row.key);
    } else {
      host.targets[row.key] = row.value.substr(0, row.value.find('#'));
    }
  }
}

ConfigurationDocument SimulatedFleet::Document(std::uint64_t revision) const {
  return {.revision = revision, .base_revision = revision - 1, .content = this->document_content};
}

void SimulatedFleet::CommitToStore(std::uint64_t revision) {
  this->stored_document = this->Document(revision);
}

void SimulatedFleet::Commit(HostId host, std::uint64_t revision) {
  const ConfigurationDocument document = this->Document(revision);
  if (this->store_up) {
    this->stored_document = document;
  }
  Host& committer = *this->hosts.at(host);
  this->Execute(committer,
                committer.tracker.OnDocument(this->now, document, DocumentSource::kStore));
}

void SimulatedFleet::DeliverDocument(HostId host, std::uint64_t revision) {
  Host& receiver = *this->hosts.at(host);
  this->Execute(receiver, receiver.tracker.OnDocument(this->now, this->Document(revision),
                                                      DocumentSource::kPeer));
}

bool SimulatedFleet::HasAdopted(HostId host, std::uint64_t revision) const {
  return this->hosts.at(host)->tracker.revision() == revision;
}

bool SimulatedFleet::AdoptedEverywhere(std::uint64_t revision) const {
  return std::all_of(this->hosts.begin(), this->hosts.end(), [revision](const auto& entry) {
    return entry.second->paused || entry.second->tracker.revision() == revision;
  });
}

std::vector<HostId> SimulatedFleet::RunningHosts() const {
  std::vector<HostId> result;
  for (const auto& [host, state] : this->hosts) {
    result.push_back(host);
  }
  return result;
}

bool SimulatedFleet::ConsidersUsable(HostId observer, HostId subject) const {
  const auto usable = this->hosts.at(observer)->directory.UsableHosts();
  return std::find(usable.begin(), usable.end(), subject) != usable.end();
}

std::optional<MemberState> SimulatedFleet::StateOf(HostId observer, HostId subject) const {
  for (const MemberRecord& member : this->hosts.at(observer)->directory.Members()) {
    if (member.host == subject) {
      return member.state;
    }
  }
  return std::nullopt;
}

HostId SimulatedFleet::RandomHost() {
  const auto running = this->RunningHosts();
  return running[this->random.Below(running.size())];
}

}  // namespace pimentopin

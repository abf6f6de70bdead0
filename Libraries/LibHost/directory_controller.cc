#include "Libraries/LibHost/directory_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/json_log.h"

namespace pimentopin {
namespace {

// A host to which connections have failed for this long is not a broker candidate.
constexpr Duration kUnreachableAfter = std::chrono::seconds(1);
// A host that has been unreachable for this long is removed from the store, so that every
// host stops using it within 5 s.
constexpr Duration kRemoveAfter = std::chrono::seconds(2);
// Notices are sent repeatedly because a connection may lose messages in flight.
constexpr int kNoticeRepeats = 3;
constexpr Duration kNoticeInterval = std::chrono::milliseconds(600);
constexpr Duration kRegistrationRetryDelay = std::chrono::seconds(1);
// Time for this host's row to come back through the row feed before it is written again.
constexpr Duration kRegistrationConfirmDelay = std::chrono::seconds(5);
// A silent store is logged as lost after this time.
constexpr Duration kStoreLossDelay = std::chrono::seconds(3);
constexpr std::size_t kMaxNotices = 64;
// If the store has lost the rows of the hosts, they write them again spread over this time for each
// known host, below the store's rate of writes.
constexpr Duration kRegistrationSpreadPerHost = std::chrono::milliseconds(5);

std::vector<StoreRelay::Table> RelayTables(const DirectoryController::Settings& settings) {
  const bool has_targets = !settings.target_table.empty();
  std::vector<StoreRelay::Table> tables;
  tables.push_back({.name = kHostTable,
                    .polled = !has_targets,
                    .defers_removals = false,
                    .is_relevant_change = [](const std::string& before, const std::string& after) {
                      return before != after;
                    }});
  if (!has_targets) {
    return tables;
  }
  // Targets rewrite their entries as heartbeats, so only a difference in content is a
  // change.
  tables.push_back(
      {.name = settings.target_table,
       .polled = true,
       .defers_removals = true,
       .is_relevant_change =
           [read = settings.read_target](const std::string& before, const std::string& after) {
             Error ignored;
             return read("", before, ignored) != read("", after, ignored);
           },
       .needs_confirmation =
           [read = settings.read_target](const FeedRow& row) {
             Error ignored;
             const auto target = read("", row.value, ignored);
             return !target || !target->leaving;
           }});
  return tables;
}

}  // namespace

DirectoryController::DirectoryController(ControlLoop& loop,
                                         SharedState& shared_state,
                                         PeerNetwork& peers,
                                         PlatformStore& store,
                                         Settings controller_settings)
    : loop(loop),
      shared_state(shared_state),
      peers(peers),
      store(store),
      settings(std::move(controller_settings)),
      directory(this->settings.self),
      relay(this->settings.self.host,
            this->settings.self.address,
            RelayTables(this->settings),
            this->settings.configuration_polled),
      alarm(loop.CreateAlarm([this] { this->Update(); })) {
  this->Publish();
}

void DirectoryController::Start() {
  this->loop.Post([this] { this->Update(); });
}

void DirectoryController::RefreshConfirmedStoreTime() {
  if (this->settings.confirmed_store_time) {
    this->relay.SetConfirmedStoreTime(this->settings.confirmed_store_time());
  }
}

void DirectoryController::Update() {
  this->RefreshConfirmedStoreTime();
  const TimePoint now = SteadyNow();
  this->shared_state.leaving_targets.Tick(now);
  this->shared_state.hold_offs.Tick(now);
  this->shared_state.fingerprints.Tick(now);
  this->UpdateReachability();
  this->Execute(this->relay.Tick(now));
  const bool reads_store = this->relay.IsReader(now);
  if (reads_store != std::exchange(this->was_store_reader, reads_store)) {
    Log(LogLevel::kInfo, reads_store ? "store_reader_started" : "store_reader_stopped", {});
  }
  this->Register();
  this->RemoveUnreachableHosts();
  const bool store_reachable = this->relay.StoreAnsweredWithin(now, kStoreLossDelay);
  if (store_reachable != std::exchange(this->store_was_reachable, store_reachable)) {
    Log(store_reachable ? LogLevel::kInfo : LogLevel::kWarning,
        store_reachable ? "store_regained" : "store_lost", {});
  }
  this->alarm->Set(this->relay.NextDeadline(SteadyNow()));
}

void DirectoryController::OnMessage(const Envelope& envelope) {
  const TimePoint now = SteadyNow();
  this->last_peer_message_at = now;
  const auto* const digest = std::get_if<StoreDigest>(&envelope.message);
  if (digest != nullptr && this->settings.on_digest) {
    this->settings.on_digest(*digest);
  }
  this->RefreshConfirmedStoreTime();
  if (digest != nullptr) {
    this->peers.SetPeer(envelope.sender, digest->address);
    this->Execute(this->relay.OnDigest(now, envelope.sender, *digest));
  } else if (const auto* rows = std::get_if<RowRelay>(&envelope.message)) {
    this->Execute(this->relay.OnRelay(now, envelope.sender, *rows));
  } else if (const auto* request = std::get_if<RowRelayRequest>(&envelope.message)) {
    this->Execute(this->relay.OnRelayRequest(now, envelope.sender, *request));
  } else if (const auto* notices = std::get_if<Notices>(&envelope.message)) {
    this->shared_state.leaving_targets.Merge(now, notices->leaving_targets);
    this->shared_state.fingerprints.Merge(now, notices->fingerprints);
    this->settings.on_notices_changed();
  } else {
    return;
  }
  this->alarm->Set(this->relay.NextDeadline(now));
}

void DirectoryController::SetConfigurationRevision(std::uint64_t revision) {
  this->relay.SetConfigurationRevision(SteadyNow(), revision);
}

void DirectoryController::BroadcastNotices() {
  this->remaining_notice_repeats = kNoticeRepeats;
  this->SendNotices();
  this->settings.on_notices_changed();
}

void DirectoryController::SendNotices() {
  const TimePoint now = SteadyNow();
  const Notices notices{
      .leaving_targets = this->shared_state.leaving_targets.Notices(now, kMaxNotices),
      .fingerprints = this->shared_state.fingerprints.Records(now, kMaxNotices)};
  for (const MemberRecord& member : this->directory.Members()) {
    if (member.host != this->settings.self.host) {
      this->peers.Send(member.host, notices);
    }
  }
  if (this->remaining_notice_repeats > 0 && !std::exchange(this->notices_scheduled, true)) {
    --this->remaining_notice_repeats;
    this->loop.RunAfter(kNoticeInterval, [this] {
      this->notices_scheduled = false;
      this->SendNotices();
    });
  }
}

void DirectoryController::SetLeaving() {
  this->directory.SetSelfLeaving();
  this->registration_due = {};
  this->Publish();
  this->Register();
}

bool DirectoryController::HasTargets() const {
  return this->settings.target_table.empty() || this->relay.IsLoaded(this->settings.target_table);
}

bool DirectoryController::HasContactWithin(Duration window) const {
  const TimePoint now = SteadyNow();
  return this->relay.StoreAnsweredWithin(now, window) ||
         (this->last_peer_message_at && now - *this->last_peer_message_at < window);
}

std::int64_t DirectoryController::ViewAgeMs() const {
  const std::optional<TimePoint> confirmed = this->relay.confirmed_at();
  return confirmed ? std::chrono::duration_cast<std::chrono::milliseconds>(SteadyNow() - *confirmed)
                         .count()
                   : -1;
}

void DirectoryController::Execute(const std::vector<RelayAction>& actions) {
  for (const RelayAction& action : actions) {
    std::visit([this](const auto& concrete) { this->Execute(concrete); }, action);
  }
}

void DirectoryController::Execute(const ListTable& action) {
  this->store.List(action.table, [this, table = action.table](const std::optional<FeedBatch>& batch,
                                                              const Error& error) {
    const std::size_t changes = this->OnRows(table, batch, error);
    if (batch) {
      Log(LogLevel::kInfo, "table_listed",
          {{"table", table},
           {"rows", batch->rows.size()},
           {"version", batch->version.ToText()},
           {"changes", changes}});
    }
  });
}

void DirectoryController::Execute(const ReadChanges& action) {
  this->store.Changes(
      action.table, action.version, action.wait,
      [this, table = action.table](const std::optional<FeedBatch>& batch, const Error& error) {
        this->OnRows(table, batch, error);
      });
}

void DirectoryController::Execute(const ReadNewestConfiguration& action) {
  if (!action.for_domain) {
    Log(LogLevel::kInfo, "configuration_read_alone", {{"confirmed_ms_ago", this->ViewAgeMs()}});
  }
  this->settings.read_configuration(action, [this](const Error& error) {
    this->relay.OnConfigurationRead(SteadyNow(), error);
    this->Update();
  });
}

void DirectoryController::Execute(const PullConfiguration& action) {
  this->settings.on_revision_seen(action.host, action.revision);
}

void DirectoryController::Execute(const RowsChanged& action) {
  if (action.table == kHostTable) {
    this->OnHostRows(action.rows);
  } else {
    this->OnTargetRows(action.rows);
  }
}

void DirectoryController::Execute(const RemovalsDeferred& action) {
  Log(LogLevel::kInfo, "removals_deferred",
      {{"table", action.table},
       {"rows", action.rows},
       {"wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(action.wait).count()}});
}

void DirectoryController::Execute(const EraStarted& action) {
  Log(LogLevel::kWarning, "table_returned_from_copy",
      {{"table", action.table},
       {"version", action.version.ToText()},
       {"changes", action.changes},
       {"withheld", action.withheld}});
  if (action.table != kHostTable) {
    return;
  }
  this->own_row_version.reset();
  const auto hosts = static_cast<Duration::rep>(this->directory.Members().size());
  const Duration spread = kRegistrationSpreadPerHost * hosts;
  const std::uint64_t draw = StableHash(RawId(this->settings.self.host), action.version.era) %
                             static_cast<std::uint64_t>(spread.count());
  this->registration_due =
      std::max(this->registration_due, SteadyNow() + Duration(static_cast<Duration::rep>(draw)));
}

bool DirectoryController::IsRegistered() const {
  // The row may have disappeared with the writes that a store lost, although its removal does not
  // take effect yet.
  return this->directory.IsRegistered() &&
         !this->relay.RowVersion(kHostTable, this->settings.self.name).is_zero();
}

void DirectoryController::Execute(const SendToHost& action) {
  this->peers.Send(action.host, action.message);
}

std::size_t DirectoryController::OnRows(const std::string& table,
                                        const std::optional<FeedBatch>& batch,
                                        const Error& error) {
  if (!batch) {
    Log(LogLevel::kDebug, "store_read_failed", {{"table", table}, {"error", error.message}});
  }
  this->RefreshConfirmedStoreTime();
  const std::vector<RelayAction> actions = this->relay.OnRows(SteadyNow(), table, batch, error);
  std::size_t changes = 0;
  for (const RelayAction& action : actions) {
    const auto* const changed = std::get_if<RowsChanged>(&action);
    changes += changed != nullptr ? changed->rows.size() : 0;
  }
  this->Execute(actions);
  this->Update();
  return changes;
}

void DirectoryController::OnHostRows(const std::vector<FeedRow>& rows) {
  std::vector<std::string> findings;
  this->directory.Apply(rows, findings);
  for (const std::string& finding : findings) {
    Log(LogLevel::kWarning, "host_row_unreadable", {{"row", finding}});
  }
  this->own_row_version.reset();
  this->Publish();
  for (const FeedRow& row : rows) {
    if (!row.removed) {
      this->relay.Greet(IdFromName<HostId>(row.key));
    }
  }
}

void DirectoryController::OnTargetRows(const std::vector<FeedRow>& rows) {
  // The first listing is logged as one line. A line per target would take a starting host
  // longer than the rest of its startup.
  const bool is_first = this->targets.empty();
  for (const FeedRow& row : rows) {
    Error error;
    const auto target =
        row.removed ? std::nullopt : this->settings.read_target(row.key, row.value, error);
    const auto known = this->targets.find(row.key);
    const RegisteredTarget* const before = known == this->targets.end() ? nullptr : &known->second;
    if (target) {
      if (!is_first) {
        this->LogTargetChange(before, *target, row);
      }
      this->targets[row.key] = *target;
      continue;
    }
    if (!row.removed) {
      Log(LogLevel::kWarning, "target_entry_unreadable",
          {{"target", row.key}, {"row_version", row.version.ToText()}, {"reason", error.message}});
    }
    if (before != nullptr) {
      Log(LogLevel::kInfo, "target_gone",
          {{"target", row.key},
           {"service", before->service},
           {"row_version", row.version.ToText()}});
      this->targets.erase(known);
    }
  }
  if (is_first) {
    Log(LogLevel::kInfo, "targets_loaded", {{"targets", this->targets.size()}});
  }
  std::vector<RegisteredTarget> registered;
  for (const auto& [name, target] : this->targets) {
    registered.push_back(target);
  }
  this->shared_state.registered_targets.Write(std::move(registered));
  this->settings.on_targets_changed();
}

void DirectoryController::LogTargetChange(const RegisteredTarget* before,
                                          const RegisteredTarget& after,
                                          const FeedRow& row) {
  const bool is_new = before == nullptr || before->incarnation != after.incarnation;
  if (!is_new && before->leaving == after.leaving) {
    return;
  }
  Log(LogLevel::kInfo, after.leaving ? "target_leaving" : "target_registered",
      {{"target", after.name},
       {"service", after.service},
       {"address", after.address},
       {"domain", after.domain},
       {"slots", after.slots},
       {"row_version", row.version.ToText()}});
}

void DirectoryController::UpdateReachability() {
  const TimePoint now = SteadyNow();
  bool changed = false;
  for (const MemberRecord& member : this->directory.Members()) {
    if (member.host == this->settings.self.host) {
      continue;
    }
    const auto failing_since = this->peers.FailingSince(member.host);
    const bool unreachable = failing_since && now - *failing_since >= kUnreachableAfter;
    if (unreachable == (member.state == MemberState::kUnreachable)) {
      continue;
    }
    this->directory.SetUnreachable(member.host, unreachable);
    changed = true;
    Log(unreachable ? LogLevel::kWarning : LogLevel::kInfo,
        unreachable ? "host_unreachable" : "host_reachable", {{"host", member.name}});
  }
  if (changed) {
    this->Publish();
  }
}

void DirectoryController::Register() {
  const TimePoint now = SteadyNow();
  if (this->registering || now < this->registration_due || this->IsRegistered() ||
      !this->relay.MayRegister(now)) {
    return;
  }
  this->registering = true;
  const MemberRecord& self = this->directory.self();
  this->store.Write(
      {{.key = std::string(kHostTable) + "/" + self.name,
        .expected_version =
            this->own_row_version.value_or(this->relay.RowVersion(kHostTable, self.name)),
        .value = EncodeHostRow(self)}},
      [this](const std::optional<std::vector<WriteResult>>& results, const Error& error) {
        this->registering = false;
        const bool applied = results && results->front().applied;
        if (results) {
          // Another incarnation wrote the row, or a delayed write of this one took effect
          // first.
          this->own_row_version = results->front().version;
        } else {
          Log(LogLevel::kWarning, "host_registration_failed", {{"error", error.message}});
        }
        const bool conflict = results && !applied;
        this->registration_due = SteadyNow() + (applied    ? kRegistrationConfirmDelay
                                                : conflict ? Duration::zero()
                                                           : Duration(kRegistrationRetryDelay));
        this->Update();
      });
}

void DirectoryController::RemoveUnreachableHosts() {
  const TimePoint now = SteadyNow();
  if (this->removing_host || !this->relay.IsReader(now) ||
      !this->relay.StoreAnsweredWithin(now, kRegistrationRetryDelay)) {
    return;
  }
  for (const MemberRecord& member : this->directory.Members()) {
    const auto failing_since = this->peers.FailingSince(member.host);
    if (member.domain != this->settings.self.domain || !failing_since ||
        now - *failing_since < kRemoveAfter) {
      continue;
    }
    this->removing_host = true;
    Log(LogLevel::kInfo, "host_row_removed", {{"host", member.name}});
    this->store.Write(
        {{.key = std::string(kHostTable) + "/" + member.name,
          .expected_version = this->relay.RowVersion(kHostTable, member.name),
          .remove = true}},
        [this](const auto& results, const Error& error) {
          this->removing_host = false;
          if (!results) {
            Log(LogLevel::kWarning, "host_row_removal_failed", {{"error", error.message}});
          }
        });
    return;
  }
}

void DirectoryController::Publish() {
  std::vector<MemberRecord> members = this->directory.Members();
  for (const MemberRecord& member : members) {
    if (member.host != this->settings.self.host) {
      this->peers.SetPeer(member.host, member.address);
    }
  }
  this->relay.SetHosts(this->settings.self.domain, this->directory.RankedHostsByDomain());
  this->shared_state.members.Write(std::move(members));
  this->shared_state.broker_candidates.Write(this->directory.BrokerCandidates());
}

}  // namespace pimentopin

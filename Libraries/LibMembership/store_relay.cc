#include "Libraries/LibMembership/store_relay.h"

#include <algorithm>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

std::vector<RelayedRow> ToRelayedRows(const std::vector<FeedRow>& rows) {
  std::vector<RelayedRow> relayed;
  for (const FeedRow& row : rows) {
    relayed.push_back({row.key, row.version, row.value, row.removed});
  }
  return relayed;
}

FeedBatch ToFeedBatch(const RowRelay& relay) {
  FeedBatch batch{.rows = {}, .version = relay.version};
  for (const RelayedRow& row : relay.rows) {
    batch.rows.push_back({row.key, row.version, row.value, row.removed});
  }
  return batch;
}

}  // namespace

StoreRelay::StoreRelay(HostId self,
                       std::string address,
                       std::vector<Table> tables,
                       bool configuration_polled)
    : self(self),
      address(std::move(address)),
      configuration_polled(configuration_polled),
      ranking{self} {
  for (Table& table : tables) {
    const TableMirror::IsRelevantChange is_relevant_change = table.is_relevant_change;
    this->table_states.push_back(
        {.table = std::move(table), .mirror = TableMirror(is_relevant_change)});
  }
}

void StoreRelay::SetHosts(DomainId own_domain,
                          const std::map<DomainId, std::vector<HostId>>& ranked_hosts) {
  this->ranking = {this->self};
  this->remote_readers.clear();
  this->other_hosts.clear();
  for (const auto& [domain, ranked] : ranked_hosts) {
    for (const HostId host : ranked) {
      if (host != this->self) {
        this->other_hosts.push_back(host);
      }
    }
    if (domain == own_domain) {
      this->ranking = ranked;
      continue;
    }
    const std::size_t readers = std::min(ranked.size(), kRemoteReadersPerDomain);
    this->remote_readers.insert(this->remote_readers.end(), ranked.begin(),
                                ranked.begin() + static_cast<std::ptrdiff_t>(readers));
  }
  std::erase_if(this->last_digest_at,
                [this](const auto& entry) { return !Contains(this->ranking, entry.first); });
}

const StoreRelay::TableState* StoreRelay::FindTable(const std::string& table) const {
  const auto found =
      std::find_if(this->table_states.begin(), this->table_states.end(),
                   [&table](const TableState& state) { return state.table.name == table; });
  return found == this->table_states.end() ? nullptr : &*found;
}

StoreRelay::TableState* StoreRelay::FindTable(const std::string& table) {
  return const_cast<TableState*>(std::as_const(*this).FindTable(table));
}

std::size_t StoreRelay::ReaderRank(HostId host) const {
  const auto position = std::find(this->ranking.begin(), this->ranking.end(), host);
  return static_cast<std::size_t>(position - this->ranking.begin());
}

bool StoreRelay::RanksBefore(HostId host) const {
  return this->ReaderRank(host) < this->ReaderRank(this->self);
}

TimePoint StoreRelay::TakeoverTime() const {
  const std::size_t rank = this->ReaderRank(this->self);
  std::optional<TimePoint> last_digest;
  for (std::size_t index = 0; index < rank && index < this->ranking.size(); ++index) {
    const auto digest = this->last_digest_at.find(this->ranking[index]);
    if (digest != this->last_digest_at.end()) {
      last_digest = std::max(last_digest.value_or(digest->second), digest->second);
    }
  }
  const Duration stagger =
      kTakeoverStagger * static_cast<Duration::rep>(std::min(rank, kStaggeredRanks));
  TimePoint own_takeover = this->first_read_at;
  if (last_digest) {
    own_takeover = *last_digest + kDigestTimeout + stagger;
  } else if (rank > 0 && this->joins_at) {
    const auto ranks = static_cast<Duration::rep>(std::min(rank, kMaxStartupRanks));
    own_takeover =
        std::max(own_takeover, *this->joins_at + kGreetingTime) + kTakeoverStagger * ranks;
  }
  // A host of a better rank has already detected the missing reader, but cannot
  // reach the store either, so that this host need not wait for the timeout.
  return this->failed_takeover_at && this->failed_takeover_at > last_digest
             ? std::min(own_takeover, *this->failed_takeover_at + stagger)
             : own_takeover;
}

bool StoreRelay::IsReader(TimePoint now) const {
  return now >= this->TakeoverTime();
}

void StoreRelay::RecordStoreResult(TimePoint now, bool answered) {
  if (!answered) {
    this->outage_start = this->outage_start.value_or(now);
    return;
  }
  this->last_known_answer_at = now;
  this->outage_start.reset();
}

void StoreRelay::DeferRemovalsAfterGap(TimePoint now, TableState& state) {
  if (state.table.defers_removals && state.heard_at && now - *state.heard_at >= kOutageGap) {
    state.deferred_removals.DeferUntil(now + kRemovalGracePeriod);
    state.heard_at = now;
  }
}

void StoreRelay::RecordHeard(TimePoint now, TimePoint at, TableState& state) {
  DeferRemovalsAfterGap(now, state);
  state.heard_at = std::max(state.heard_at, std::optional(at));
}

// The copy of the table and what is relayed have each removal at once. Only acting on it waits, at
// each host for itself, so that no host's version covers a removal that the host does not have.
void StoreRelay::ActOnChanges(TimePoint now,
                              TableState& state,
                              std::vector<FeedRow> changes,
                              Actions& actions) {
  state.returned_rows.Confirm(changes);
  const std::size_t count = changes.size();
  std::vector<FeedRow> effective = state.deferred_removals.Filter(now, std::move(changes));
  if (effective.size() < count) {
    actions.emplace_back(
        RemovalsDeferred{.table = state.table.name,
                         .rows = count - effective.size(),
                         .wait = state.deferred_removals.waiting_until().value_or(now) - now});
  }
  if (!effective.empty()) {
    actions.emplace_back(RowsChanged{state.table.name, std::move(effective)});
  }
}

std::optional<TimePoint> StoreRelay::ConfirmedAt(const TableState& state) const {
  return std::max(state.confirmed_at, this->freshness.confirmed_at());
}

void StoreRelay::ActOnDueRows(TimePoint now, TableState& state, Actions& actions) const {
  std::vector<FeedRow> due = state.deferred_removals.TakeDue(now, this->ConfirmedAt(state));
  for (FeedRow& row : state.returned_rows.TakeDue(now)) {
    due.push_back(std::move(row));
  }
  if (!due.empty()) {
    actions.emplace_back(RowsChanged{state.table.name, std::move(due)});
  }
}

void StoreRelay::ApplyRows(TimePoint now,
                           TableState& state,
                           const FeedBatch& batch,
                           bool is_listing,
                           Actions& actions) {
  const std::optional<StoreVersion> base = state.ContentVersion();
  const bool starts_era = base && state.mirror.IsOfLaterEra(batch.version);
  std::vector<FeedRow> changed =
      is_listing ? state.mirror.ApplyListing(batch) : state.mirror.ApplyChanges(batch);
  if (starts_era) {
    // The hosts wait for the owners of rows from the same moment on, also if nothing has changed.
    state.mirror.RaiseContentVersion(batch.version);
    // Other hosts may have known other rows of the earlier era.
    this->RelayRows(now, state, {}, state.mirror.Rows(), actions);
    StartEra(now, state, batch.version, changed, actions);
  } else if (base && !changed.empty()) {
    // The first listing of a table is new only to this host. If every starting host of a domain
    // relayed it, the traffic would saturate slow links for seconds.
    this->RelayRows(now, state, base->is_zero() ? StoreVersion(1, batch.version.era) : *base,
                    changed, actions);
  }
  if (!changed.empty()) {
    ActOnChanges(now, state, std::move(changed), actions);
  }
}

void StoreRelay::StartEra(TimePoint now,
                          TableState& state,
                          const StoreVersion& version,
                          std::vector<FeedRow>& changes,
                          Actions& actions) {
  state.deferred_removals.DeferUntil(now + kRemovalGracePeriod);
  EraStarted started{.table = state.table.name, .version = version, .changes = changes.size()};
  if (state.table.needs_confirmation) {
    const std::vector<std::string> withheld =
        state.returned_rows.Withhold(now, state.table.needs_confirmation, changes);
    for (const std::string& key : withheld) {
      state.mirror.ReportNextWrite(key);
    }
    started.withheld = withheld.size();
  }
  actions.emplace_back(std::move(started));
}

std::vector<RelayAction> StoreRelay::OnRows(TimePoint now,
                                            const std::string& table,
                                            const std::optional<FeedBatch>& batch,
                                            const Error& error) {
  Actions actions;
  TableState* const state = this->FindTable(table);
  if (state == nullptr) {
    return actions;
  }
  state->reading = false;
  if (batch && state->mirror.IsOfEarlierEra(batch->version)) {
    // Another host has read the store since it came back from a copy, after this response.
    return this->OnRows(now, table, std::nullopt,
                        {ErrorCode::kUnreachable, "the response is of an era that has ended"});
  }
  const bool is_listing = std::exchange(state->reading_listing, false);
  const bool history_lost = error.code == ErrorCode::kNotFound;
  this->RecordStoreResult(now, batch.has_value() || history_lost);
  if (!batch) {
    state->needs_listing = state->needs_listing || history_lost;
    // The reads of a polled table go on at their interval, so that the end of the outage is known
    // early enough for the removals that have to wait.
    state->next_read = history_lost          ? now
                       : state->table.polled ? now + kPollInterval
                                             : now + kRetryInterval;
    if (!history_lost) {
      this->freshness.RecordOutage(now);
      if (this->IsReader(now)) {
        this->SendOutageDigests(now, actions);
      }
    }
    return actions;
  }
  this->last_answer_at = now;
  state->confirmed_at = state->read_started_at;
  this->RecordOwnRow(*state, *batch);
  RecordHeard(now, now, *state);
  state->needs_listing = false;
  this->ApplyRows(now, *state, *batch, is_listing, actions);
  state->next_read = now + (state->table.polled ? kPollInterval : kMinLongPollInterval);
  if (const auto waiting_until = state->deferred_removals.waiting_until()) {
    // A read after this time confirms the removals.
    state->next_read = std::min(state->next_read, std::max(now, *waiting_until));
  }
  if (state->table.polled && this->configuration_polled && !this->reading_configuration) {
    this->next_configuration_read = state->next_read;
  }
  this->ConfirmByOwnReads(now);
  return actions;
}

void StoreRelay::OnConfigurationRead(TimePoint now, const Error& error) {
  const bool history_lost = error.code == ErrorCode::kNotFound;
  const bool answered = error.code == ErrorCode::kNone || history_lost;
  this->reading_configuration = false;
  this->RecordStoreResult(now, answered);
  if (!answered) {
    this->freshness.RecordOutage(now);
  } else {
    this->last_answer_at = now;
  }
  if (error.code == ErrorCode::kNone) {
    this->configuration_answered_at = now;
    this->configuration_confirmed_at = this->configuration_read_started_at;
    this->ConfirmByOwnReads(now);
  }
  Duration delay = this->configuration_polled ? kPollInterval : kMinLongPollInterval;
  if (history_lost) {
    delay = Duration::zero();
  } else if (!answered) {
    delay = StoreFreshness::kMinRetryInterval;
  }
  this->next_configuration_read = now + delay;
}

std::vector<RelayAction> StoreRelay::OnDigest(TimePoint now,
                                              HostId sender,
                                              const StoreDigest& digest) {
  Actions actions;
  const bool same_domain = Contains(this->ranking, sender);
  if (same_domain && digest.store_answered) {
    this->last_digest_at[sender] = now;
    this->RecordStoreResult(now, true);
  } else if (digest.store_answered) {
    this->last_known_answer_at = now;
  } else if (digest.reader == HostId{}) {
    this->freshness.RecordOutage(now);
    if (same_domain && this->RanksBefore(sender)) {
      this->failed_takeover_at = now;
      this->RecordStoreResult(now, false);
    }
  }
  if (digest.reader != HostId{}) {
    this->RecordForwardedAnswer(now, digest, actions);
  }
  if (digest.configuration_revision > this->revision) {
    actions.emplace_back(PullConfiguration{sender, digest.configuration_revision});
  }
  for (const TableVersion& entry : digest.tables) {
    TableState* const state = this->FindTable(entry.table);
    if (state != nullptr &&
        (!state->mirror.loaded() || state->mirror.content_version() < entry.version)) {
      this->RequestTable(now, sender, *state, actions);
    }
  }
  TimePoint& last_reply = this->last_reply_at[sender];
  if (digest.asks || (this->HasNewerThan(digest) && now - last_reply >= kMinReplyInterval)) {
    last_reply = now;
    actions.emplace_back(SendToHost{sender, this->MakeDigest(now)});
  }
  return actions;
}

void StoreRelay::RecordForwardedAnswer(TimePoint now, const StoreDigest& digest, Actions& actions) {
  const TimePoint answered_at = now - digest.age;
  if (digest.reader == this->self) {
    return;
  }
  if (!this->pending_confirmation || this->pending_confirmation->at < answered_at) {
    this->pending_confirmation = {.digest = digest, .at = answered_at};
    this->ConfirmByDigest(now);
  }
  if (!digest.store_answered && digest.age < kDigestTimeout) {
    this->RecordStoreResult(now, true);
  }
  if (!Contains(this->ranking, digest.reader)) {
    return;
  }
  TimePoint& last_digest = this->last_digest_at[digest.reader];
  last_digest = std::max(last_digest, answered_at);
  // A host that receives a digest on two ways forwards it once.
  if (answered_at - this->last_forwarded_answer < kMinDigestInterval) {
    return;
  }
  this->last_forwarded_answer = answered_at;
  for (const HostId host : this->DigestReceivers(digest.reader)) {
    actions.emplace_back(SendToHost{host, this->MakeDigest(now)});
  }
}

std::vector<HostId> StoreRelay::DigestReceivers(HostId reader) const {
  std::vector<HostId> order = this->ranking;
  const auto root = std::find(order.begin(), order.end(), reader);
  if (root == order.end()) {
    return {};
  }
  std::rotate(order.begin(), root, root + 1);
  const auto position =
      static_cast<std::size_t>(std::find(order.begin(), order.end(), this->self) - order.begin());
  const bool is_root = position == 0;
  const std::size_t first = is_root ? 1 : 1 + kSuccessorCount + (position - 1) * kForwardFanout;
  const std::size_t last = first + (is_root ? kSuccessorCount : kForwardFanout);
  std::vector<HostId> receivers;
  for (std::size_t index = first; index < std::min(order.size(), last); ++index) {
    receivers.push_back(order[index]);
  }
  return receivers;
}

void StoreRelay::ConfirmByDigest(TimePoint now) {
  if (!this->pending_confirmation) {
    return;
  }
  const StoreDigest& digest = this->pending_confirmation->digest;
  const bool has_all =
      digest.configuration_revision <= this->revision &&
      std::all_of(digest.tables.begin(), digest.tables.end(), [this](const TableVersion& entry) {
        const TableState* const state = this->FindTable(entry.table);
        return state == nullptr ||
               (state->mirror.loaded() && state->mirror.content_version() >= entry.version);
      });
  if (has_all) {
    this->freshness.Confirm(this->pending_confirmation->at, digest.reader);
    for (TableState& state : this->table_states) {
      RecordHeard(now, this->pending_confirmation->at, state);
    }
  }
}

void StoreRelay::ConfirmByOwnReads(TimePoint now) {
  std::optional<TimePoint> confirmed = this->configuration_confirmed_at;
  // A read that waits for a change returns at once when there is one.
  if (this->reading_configuration && !this->configuration_polled &&
      this->ContinuesConfigurationRead(this->configuration_read_started_at) &&
      now - this->configuration_read_started_at <= kConfigurationPollTimeout) {
    confirmed = now;
  }
  for (const TableState& state : this->table_states) {
    if (state.table.polled) {
      confirmed = std::min(confirmed, state.confirmed_at);
    }
  }
  if (confirmed) {
    this->freshness.Confirm(*confirmed, this->self);
  }
}

bool StoreRelay::ContinuesConfigurationRead(TimePoint start) const {
  return this->configuration_answered_at &&
         start - *this->configuration_answered_at < kRetryInterval;
}

HostId StoreRelay::QueriedHost() {
  const HostId reader = this->freshness.reader();
  ++this->query_count;
  if (this->query_count % 2 == 1 && reader != this->self && Contains(this->other_hosts, reader)) {
    return reader;
  }
  const std::vector<HostId>& candidates =
      this->remote_readers.empty() ? this->other_hosts : this->remote_readers;
  return candidates.empty()
             ? this->self
             : candidates[StableHash(RawId(this->self), this->query_count) % candidates.size()];
}

void StoreRelay::SendQuery(TimePoint now, Actions& actions) {
  if (!this->freshness.TakeQuery(now)) {
    return;
  }
  const HostId host = this->QueriedHost();
  if (host == this->self) {
    return;
  }
  StoreDigest query = this->MakeDigest(now);
  query.asks = true;
  actions.emplace_back(SendToHost{host, std::move(query)});
}

void StoreRelay::SetConfigurationRevision(TimePoint now, std::uint64_t new_revision) {
  this->revision = new_revision;
  this->ConfirmByDigest(now);
  this->ConfirmByOwnReads(now);
}

bool StoreRelay::HasNewerThan(const StoreDigest& digest) const {
  if (digest.configuration_revision < this->revision) {
    return true;
  }
  return std::any_of(digest.tables.begin(), digest.tables.end(), [this](const auto& entry) {
    const TableState* const state = this->FindTable(entry.table);
    return state != nullptr && entry.version < state->mirror.content_version();
  });
}

std::vector<RelayAction> StoreRelay::OnRelay(TimePoint now, HostId sender, const RowRelay& relay) {
  Actions actions;
  TableState* const state = this->FindTable(relay.table);
  if (state == nullptr ||
      (state->mirror.loaded() && relay.version <= state->mirror.content_version())) {
    return actions;
  }
  // The sender may have read the rows long ago, so that only a gap counts.
  DeferRemovalsAfterGap(now, *state);
  const bool is_whole_table = relay.base_version.is_zero();
  if (!is_whole_table &&
      (!state->mirror.loaded() || state->mirror.content_version() < relay.base_version)) {
    this->RequestTable(now, sender, *state, actions);
    return actions;
  }
  const FeedBatch batch = ToFeedBatch(relay);
  this->RecordOwnRow(*state, batch);
  // If another domain's reader was faster, this host's own reads no longer return these rows as
  // changes, so a reader has to relay them here.
  this->ApplyRows(now, *state, batch, is_whole_table, actions);
  if (std::exchange(state->needs_listing, false)) {
    state->next_read = now;
  }
  state->mirror.RaiseContentVersion(relay.version);
  this->ConfirmByDigest(now);
  return actions;
}

std::vector<RelayAction> StoreRelay::OnRelayRequest(TimePoint now,
                                                    HostId sender,
                                                    const RowRelayRequest& request) const {
  const TableState* const state = this->FindTable(request.table);
  if (state == nullptr || !state->mirror.loaded()) {
    return {};
  }
  // With the digest, a host that has just started need not read the store.
  return {SendToHost{sender, RowRelay{.table = request.table,
                                      .base_version = {},
                                      .version = state->mirror.content_version(),
                                      .rows = ToRelayedRows(state->mirror.Rows())}},
          SendToHost{sender, this->MakeDigest(now)}};
}

void StoreRelay::Greet(HostId host) {
  if (host != this->self && !Contains(this->ungreeted, host)) {
    this->ungreeted.push_back(host);
  }
}

void StoreRelay::SendGreetings(TimePoint now, Actions& actions) {
  if (this->ungreeted.empty()) {
    return;
  }
  const StoreDigest digest = this->MakeDigest(now);
  for (const HostId host : std::exchange(this->ungreeted, {})) {
    if (digest.store_answered && Contains(this->ranking, host)) {
      actions.emplace_back(SendToHost{host, digest});
    }
  }
}

void StoreRelay::RecordOwnRow(const TableState& state, const FeedBatch& batch) {
  this->is_registered =
      this->is_registered ||
      (this->IsFirst(state) &&
       std::any_of(batch.rows.begin(), batch.rows.end(), [this](const FeedRow& row) {
         return !row.removed && IdFromName<HostId>(row.key) == this->self;
       }));
}

void StoreRelay::Join(TimePoint now) {
  if (this->joins_at || this->table_states.empty() || !this->table_states.front().mirror.loaded()) {
    return;
  }
  // If no other host of the domain is known, all may be starting now.
  const bool is_alone = this->ranking.size() <= 1;
  const auto spread = static_cast<std::uint64_t>(Duration(kJoinSpread).count());
  const Duration delay(is_alone && !this->is_registered
                           ? static_cast<Duration::rep>(StableHash(RawId(this->self), 0) % spread)
                           : 0);
  this->joins_at = now + delay;
  const bool waits = delay > Duration::zero();
  this->first_read_at = *this->joins_at + (waits ? kGreetingTime : Duration());
  this->peers_late_at =
      *this->joins_at + (waits ? Duration(kTableTransferTime) : Duration(kPeerResponseTime));
  // A document of a peer is adopted only after a second, because the peer may have an old one.
  this->configuration_due = waits ? this->peers_late_at : now;
}

bool StoreRelay::MayRegister(TimePoint now) const {
  return this->joins_at && now >= *this->joins_at;
}

TimePoint StoreRelay::ReadableFrom(const TableState& state) const {
  const TimePoint takeover = state.table.polled
                                 ? std::min(this->TakeoverTime(), this->freshness.ReadableFrom())
                                 : this->TakeoverTime();
  if (!state.needs_listing) {
    return takeover;
  }
  return this->IsFirst(state) ? TimePoint() : std::min(takeover, this->peers_late_at);
}

void StoreRelay::RequestMissingTables(Actions& actions) {
  if (!this->joins_at || std::exchange(this->requested_missing_tables, true)) {
    return;
  }
  for (std::size_t rank = 0; rank < std::min(this->ranking.size(), kSuccessorCount); ++rank) {
    for (TableState& state : this->table_states) {
      if (this->ranking[rank] != this->self && !state.mirror.loaded()) {
        actions.emplace_back(SendToHost{this->ranking[rank], RowRelayRequest{state.table.name}});
      }
    }
  }
}

void StoreRelay::RequestTable(TimePoint now, HostId host, TableState& state, Actions& actions) {
  if (state.requested_at && now - *state.requested_at < kPollInterval / 2) {
    return;
  }
  state.requested_at = now;
  actions.emplace_back(SendToHost{host, RowRelayRequest{state.table.name}});
}

void StoreRelay::RelayRows(TimePoint now,
                           const TableState& state,
                           const StoreVersion& base_version,
                           const std::vector<FeedRow>& rows,
                           Actions& actions) const {
  if (!this->IsReader(now)) {
    return;
  }
  const RowRelay relay{.table = state.table.name,
                       .base_version = base_version,
                       .version = state.mirror.content_version(),
                       .rows = ToRelayedRows(rows)};
  for (const HostId host : this->ranking) {
    if (host != this->self) {
      actions.emplace_back(SendToHost{host, relay});
    }
  }
}

bool StoreRelay::IsActiveReader(TimePoint now) const {
  return this->IsReader(now) && this->last_answer_at && !this->outage_start;
}

StoreDigest StoreRelay::MakeDigest(TimePoint now) const {
  StoreDigest digest{.address = this->address,
                     .store_answered = this->IsActiveReader(now),
                     .configuration_revision = this->revision,
                     .confirmed_store_time = this->confirmed_store_time};
  const std::optional<TimePoint> confirmed = this->freshness.confirmed_at();
  if (confirmed && !this->outage_start) {
    digest.reader = this->freshness.reader();
    digest.age = now - *confirmed;
  }
  for (const TableState& state : this->table_states) {
    digest.tables.push_back({state.table.name, state.mirror.content_version()});
  }
  return digest;
}

Duration StoreRelay::SlowDigestInterval() const {
  const auto hosts = static_cast<Duration::rep>(this->ranking.size());
  return std::max<Duration>(kPollInterval, kDigestIntervalPerHost * hosts);
}

void StoreRelay::SendDigests(TimePoint now, Actions& actions) {
  const StoreDigest digest = this->MakeDigest(now);
  std::vector<HostId> receivers = this->DigestReceivers(this->self);
  if (now >= this->next_slow_digest) {
    this->next_slow_digest = now + this->SlowDigestInterval();
    receivers = this->ranking;
    std::erase(receivers, this->self);
  }
  if (now >= this->next_remote_digest) {
    this->next_remote_digest = now + 2 * this->SlowDigestInterval();
    receivers.insert(receivers.end(), this->remote_readers.begin(), this->remote_readers.end());
  }
  for (const HostId host : receivers) {
    actions.emplace_back(SendToHost{host, digest});
  }
}

void StoreRelay::SendOutageDigests(TimePoint now, Actions& actions) {
  StoreDigest digest = this->MakeDigest(now);
  digest.store_answered = false;
  digest.reader = {};
  // The hosts next in rank may still reach the store and take over.
  const std::size_t rank = this->ReaderRank(this->self);
  for (std::size_t next = rank + 1;
       next <= std::min(this->ranking.size() - 1, rank + kOutageSuccessors); ++next) {
    actions.emplace_back(SendToHost{this->ranking[next], digest});
  }
  for (std::size_t count = 0; count < kOutageFanout && !this->other_hosts.empty(); ++count) {
    const std::uint64_t draw = StableHash(RawId(this->self), ++this->outage_digest_count);
    actions.emplace_back(SendToHost{this->other_hosts[draw % this->other_hosts.size()], digest});
  }
}

void StoreRelay::StartRead(TimePoint now, TableState& state, Actions& actions) {
  if (state.reading || now < state.next_read || now < this->ReadableFrom(state)) {
    return;
  }
  state.reading = true;
  state.read_started_at = now;
  state.reading_listing = state.needs_listing;
  if (state.reading_listing) {
    actions.emplace_back(ListTable{state.table.name});
    return;
  }
  actions.emplace_back(
      ReadChanges{.table = state.table.name,
                  .version = state.mirror.read_version(),
                  .wait = state.table.polled ? Duration::zero() : Duration(kLongPollTimeout)});
}

std::vector<RelayAction> StoreRelay::Tick(TimePoint now) {
  Actions actions;
  this->Join(now);
  this->RequestMissingTables(actions);
  for (TableState& state : this->table_states) {
    this->ActOnDueRows(now, state, actions);
    this->StartRead(now, state, actions);
  }
  this->SendGreetings(now, actions);
  this->SendQuery(now, actions);
  const bool reader = this->IsReader(now);
  if (reader && !std::exchange(this->was_reader, reader)) {
    // The hosts must learn of the new reader, and this host which of them have failed.
    this->next_slow_digest = now;
    this->next_remote_digest = now;
    this->last_digest_confirmed_at = {};
  }
  this->was_reader = reader;
  const bool starts = this->revision == 0 && now >= this->configuration_due;
  if (!this->reading_configuration && now >= this->next_configuration_read &&
      (reader || starts || now >= this->freshness.ReadableFrom())) {
    this->reading_configuration = true;
    this->configuration_read_started_at = now;
    actions.emplace_back(
        ReadNewestConfiguration{.for_domain = reader || starts,
                                .may_wait = reader && this->ContinuesConfigurationRead(now)});
  }
  this->ConfirmByOwnReads(now);
  if (this->IsActiveReader(now) && this->freshness.reader() == this->self &&
      *this->freshness.confirmed_at() - this->last_digest_confirmed_at >= kMinDigestInterval) {
    this->last_digest_confirmed_at = *this->freshness.confirmed_at();
    this->SendDigests(now, actions);
  }
  return actions;
}

TimePoint StoreRelay::NextDeadline(TimePoint now) const {
  const bool is_joining =
      !this->joins_at && !this->table_states.empty() && this->table_states.front().mirror.loaded();
  if (is_joining || !this->ungreeted.empty()) {
    return now;
  }
  const TimePoint takeover = std::max(now, this->TakeoverTime());
  TimePoint next = std::max(now, this->freshness.NextDeadline());
  if (!this->was_reader) {
    next = std::min(next, takeover);
  }
  if (this->joins_at && now < *this->joins_at) {
    next = std::min(next, *this->joins_at);
  }
  if (!this->reading_configuration) {
    const TimePoint readable =
        std::min({takeover, this->freshness.ReadableFrom(),
                  this->revision == 0 ? this->configuration_due : TimePoint::max()});
    next = std::min(next, std::max({now, readable, this->next_configuration_read}));
  }
  for (const TableState& state : this->table_states) {
    next = std::min(next,
                    std::max(now, state.deferred_removals.NextDeadline(this->ConfirmedAt(state))));
    next = std::min(next, std::max(now, state.returned_rows.NextDeadline()));
    if (!state.reading) {
      next = std::min(next, std::max({now, this->ReadableFrom(state), state.next_read}));
    }
  }
  return next;
}

bool StoreRelay::StoreAnsweredWithin(TimePoint now, Duration window) const {
  return this->last_known_answer_at && now - *this->last_known_answer_at < window;
}

bool StoreRelay::IsLoaded(const std::string& table) const {
  const TableState* const state = this->FindTable(table);
  return state != nullptr && state->mirror.loaded();
}

StoreVersion StoreRelay::RowVersion(const std::string& table, const std::string& key) const {
  const TableState* const state = this->FindTable(table);
  return state == nullptr ? StoreVersion() : state->mirror.RowVersion(key);
}

}  // namespace pimentopin

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibMembership/deferred_removals.h"
#include "Libraries/LibMembership/returned_rows.h"
#include "Libraries/LibMembership/store_freshness.h"
#include "Libraries/LibMembership/table_mirror.h"
#include "Libraries/LibPlatform/row_feed.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Action: list the table and pass the result to OnRows.
struct ListTable {
  std::string table;

  friend bool operator==(const ListTable&, const ListTable&) = default;
};

// Action: read the changes of the table after `version`, waiting up to `wait` for
// the first one, and pass the result to OnRows.
struct ReadChanges {
  std::string table;
  StoreVersion version;
  Duration wait{};

  friend bool operator==(const ReadChanges&, const ReadChanges&) = default;
};

// Action: read the newest configuration from the store and call
// OnConfigurationRead.
struct ReadNewestConfiguration {
  // True if a new document is for the whole failure domain, false if this host reads because nobody
  // confirmed its view of the store.
  bool for_domain = true;
  // True if the read may wait for a change.
  bool may_wait = true;

  friend bool operator==(const ReadNewestConfiguration&, const ReadNewestConfiguration&) = default;
};

// Action: request the configuration from a peer that announced `revision`.
struct PullConfiguration {
  HostId host{};
  std::uint64_t revision = 0;

  friend bool operator==(const PullConfiguration&, const PullConfiguration&) = default;
};

// Action: handle these changed rows of the table.
struct RowsChanged {
  std::string table;
  std::vector<FeedRow> rows;

  friend bool operator==(const RowsChanged&, const RowsChanged&) = default;
};

// Action: report that the removals of `rows` rows wait for `wait`.
struct RemovalsDeferred {
  std::string table;
  std::size_t rows = 0;
  Duration wait{};

  friend bool operator==(const RemovalsDeferred&, const RemovalsDeferred&) = default;
};

// Action: report that this host has the rows of a store that came back from an older copy of
// itself.
struct EraStarted {
  std::string table;
  StoreVersion version;
  // Rows that differ from what this host knew, and those of them that take no effect yet.
  std::size_t changes = 0;
  std::size_t withheld = 0;

  friend bool operator==(const EraStarted&, const EraStarted&) = default;
};

using RelayAction = std::variant<ListTable,
                                 ReadChanges,
                                 ReadNewestConfiguration,
                                 PullConfiguration,
                                 RowsChanged,
                                 RemovalsDeferred,
                                 EraStarted,
                                 SendToHost>;

// Replicates the store's tables to every host with few reads. In each failure
// domain one host, the reader, reads the changes and relays them to the others.
// The next host in rank takes over when the reader's digests stop or report an
// outage of the store. A host that is not reached by the digests asks others, and reads the store
// itself if none of them confirms its view (StoreFreshness).
class StoreRelay {
 public:
  // Interval of the reads of a polled table. A digest follows each of them. With kDigestTimeout and
  // kTakeoverStagger, a change reaches all hosts within 1.5 s after the reader failed; the limit is
  // 2 s.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(700);
  // Digests that confirm times closer to each other are one digest, received on two ways.
  static constexpr Duration kMinDigestInterval = kPollInterval / 4;
  static constexpr Duration kDigestTimeout = std::chrono::milliseconds(1200);
  // Number of hosts next in rank that receive every digest from the reader.
  static constexpr std::size_t kSuccessorCount = 2;
  // Number of hosts to which each of the others forwards a digest.
  static constexpr std::size_t kForwardFanout = 4;
  // Interval of the digests that the reader itself sends to all, per host of the domain: finds
  // hosts that have failed. Keeps the reader's traffic below 2 KB/s.
  static constexpr Duration kDigestIntervalPerHost = std::chrono::milliseconds(150);
  // Delay between the takeover attempts of hosts that are adjacent in rank, up to
  // rank kStaggeredRanks.
  static constexpr Duration kTakeoverStagger = std::chrono::milliseconds(100);
  static constexpr std::size_t kStaggeredRanks = 10;
  // Number of hosts next in rank that learn at once that the store does not answer.
  static constexpr std::size_t kOutageSuccessors = 3;
  // The store ends a long poll after this time.
  static constexpr Duration kLongPollTimeout = std::chrono::seconds(10);
  // The same for the configuration. While such a read waits, the configuration counts as current.
  static constexpr Duration kConfigurationPollTimeout = std::chrono::seconds(2);
  static constexpr Duration kRetryInterval = std::chrono::seconds(1);
  // Owners write rows that expired during an outage of the store again within 2 s
  // of its return; removals are deferred for that long.
  static constexpr Duration kRemovalGracePeriod = std::chrono::seconds(2);
  // Rows do not expire in a shorter outage.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(1500);
  // A host that heard nothing of a table for this long may have missed an outage of the store.
  static constexpr Duration kOutageGap = StoreFreshness::kMaxAge + kMinOutage;
  // Limits the rate of long polls if the store returns from them at once.
  static constexpr Duration kMinLongPollInterval = std::chrono::milliseconds(100);
  // Number of random hosts to which the reader sends a digest every kRetryInterval
  // while the store does not answer, so that what one host knows reaches all.
  static constexpr std::size_t kOutageFanout = 3;
  // Number of hosts of each other failure domain that receive the reader's digests.
  static constexpr std::size_t kRemoteReadersPerDomain = 2;
  // Minimum time between two digests in reply to a host with older data.
  static constexpr Duration kMinReplyInterval = std::chrono::milliseconds(300);
  // Hosts that start together for the first time register within this time. One partition of the
  // store takes about 200 writes a second.
  static constexpr Duration kJoinSpread = std::chrono::milliseconds(2500);
  // Time for a reader to notice a new host and to send it a digest.
  static constexpr Duration kGreetingTime = std::chrono::milliseconds(500);
  // A started host waits for the digest of each host with a better rank, up to this rank, for
  // kTakeoverStagger.
  static constexpr std::size_t kMaxStartupRanks = 10;
  // Time for the rows of a peer to arrive before a host that starts alone reads them itself.
  static constexpr Duration kTableTransferTime = std::chrono::seconds(2);
  // The same for other hosts. Callers may be waiting, for example if all hosts lost power.
  static constexpr Duration kPeerResponseTime = std::chrono::milliseconds(300);

  struct Table {
    std::string name;
    // Read at kPollInterval; other tables are read by long polls.
    bool polled = false;
    // Removals are deferred for kRemovalGracePeriod after an outage of the store.
    bool defers_removals = false;
    TableMirror::IsRelevantChange is_relevant_change;
    // Whether a row of a store that came back from an older copy must be written again before it
    // takes effect. If empty, all rows take effect at once.
    std::function<bool(const FeedRow&)> needs_confirmation = {};
  };

  // The first table lists the hosts; every host reads it when it starts. `address` is the peer
  // address of this host. `configuration_polled` means that
  // a read of the configuration does not wait for a change.
  StoreRelay(HostId self,
             std::string address,
             std::vector<Table> tables,
             bool configuration_polled);

  // Sets the hosts by failure domain, this host and its domain included, in the order of
  // HostDirectory::RankedHostsByDomain. The first one reads the store, and the next ones take over
  // in this order.
  void SetHosts(DomainId own_domain, const std::map<DomainId, std::vector<HostId>>& ranked_hosts);
  // Makes the reader send a digest to a host that has just registered, so that this host gets the
  // rows from it and need not read the store.
  void Greet(HostId host);
  // True if this host knows the first table and may write to it.
  bool MayRegister(TimePoint now) const;
  void SetConfigurationRevision(TimePoint now, std::uint64_t revision);
  // Time of the store up to which that revision is known to be the newest one, for the digests.
  void SetConfirmedStoreTime(std::optional<StoreTimePoint> confirmed) {
    this->confirmed_store_time = confirmed;
  }

  std::vector<RelayAction> OnRows(TimePoint now,
                                  const std::string& table,
                                  const std::optional<FeedBatch>& batch,
                                  const Error& error);
  // `error` is ErrorCode::kNotFound if the history since the last read is lost.
  void OnConfigurationRead(TimePoint now, const Error& error);
  std::vector<RelayAction> OnDigest(TimePoint now, HostId sender, const StoreDigest& digest);
  std::vector<RelayAction> OnRelay(TimePoint now, HostId sender, const RowRelay& relay);
  std::vector<RelayAction> OnRelayRequest(TimePoint now,
                                          HostId sender,
                                          const RowRelayRequest& request) const;
  // Starts the reads and sends the digests that are due at `now`.
  std::vector<RelayAction> Tick(TimePoint now);
  // Time of the next required Tick.
  TimePoint NextDeadline(TimePoint now) const;

  // True if this host reads the store for its failure domain.
  bool IsReader(TimePoint now) const;
  // Empty if no read of the store has confirmed what this host knows.
  std::optional<TimePoint> confirmed_at() const { return this->freshness.confirmed_at(); }
  // True if the store answered this host, or another one whose digest arrived,
  // within `window`.
  bool StoreAnsweredWithin(TimePoint now, Duration window) const;
  bool IsLoaded(const std::string& table) const;
  // Zero if the table has no such row.
  StoreVersion RowVersion(const std::string& table, const std::string& key) const;

 private:
  using Actions = std::vector<RelayAction>;

  struct TableState {
    Table table;
    TableMirror mirror;
    bool reading = false;
    // The read in flight is a listing, as the first one always is. Meanwhile a peer may send the
    // table, so that the next read need not be one.
    bool reading_listing = true;
    bool needs_listing = true;
    TimePoint next_read;
    TimePoint read_started_at;
    // Start of the last read that the store answered.
    std::optional<TimePoint> confirmed_at;
    // Last time at which a read of this host or of another one showed the table.
    std::optional<TimePoint> heard_at;
    DeferredRemovals deferred_removals;
    ReturnedRows returned_rows;
    // Time of the last request to a peer for the whole table.
    std::optional<TimePoint> requested_at;

    // Empty before the table is loaded.
    std::optional<StoreVersion> ContentVersion() const {
      return this->mirror.loaded() ? std::optional(this->mirror.content_version()) : std::nullopt;
    }
  };

  const TableState* FindTable(const std::string& table) const;
  TableState* FindTable(const std::string& table);
  // Records whether the store answered this host or the reader of its domain.
  void RecordStoreResult(TimePoint now, bool answered);
  // Defers removals if this host has not heard of the table for so long that rows may have expired
  // in an outage of the store.
  static void DeferRemovalsAfterGap(TimePoint now, TableState& state);
  // Records that a read that started at `at` has shown the table.
  static void RecordHeard(TimePoint now, TimePoint at, TableState& state);
  // Applies a listing of the whole table, or changes of it, and makes the host act on what is new.
  void ApplyRows(TimePoint now,
                 TableState& state,
                 const FeedBatch& batch,
                 bool is_listing,
                 Actions& actions);
  // Takes the rows that must wait for their owners out of `changes`, which the first listing in a
  // later era has brought.
  static void StartEra(TimePoint now,
                       TableState& state,
                       const StoreVersion& version,
                       std::vector<FeedRow>& changes,
                       Actions& actions);
  // Makes the host act on changes of its copy of the table.
  static void ActOnChanges(TimePoint now,
                           TableState& state,
                           std::vector<FeedRow> changes,
                           Actions& actions);
  // Makes the host act on the removals and returned rows that have waited long enough.
  void ActOnDueRows(TimePoint now, TableState& state, Actions& actions) const;
  // Time up to which this host's copy of the table is known to be current.
  std::optional<TimePoint> ConfirmedAt(const TableState& state) const;
  bool IsFirst(const TableState& state) const { return &state == this->table_states.data(); }
  // Time from which this host reads the table.
  TimePoint ReadableFrom(const TableState& state) const;
  // Rank as a reader of this host's failure domain; the number of its hosts if the
  // host belongs to another domain.
  std::size_t ReaderRank(HostId host) const;
  TimePoint TakeoverTime() const;
  void StartRead(TimePoint now, TableState& state, Actions& actions);
  // True if a read of the configuration that starts at `start` continues the last one, so that it
  // returns at once when there is a change.
  bool ContinuesConfigurationRead(TimePoint start) const;
  // Sends the rows to the other hosts of the domain if this host is the reader.
  // `base_version` is the table's content version before the rows, zero if they are all of it.
  void RelayRows(TimePoint now,
                 const TableState& state,
                 const StoreVersion& base_version,
                 const std::vector<FeedRow>& rows,
                 Actions& actions) const;
  // True if this host is the reader and the store answers it.
  bool IsActiveReader(TimePoint now) const;
  StoreDigest MakeDigest(TimePoint now) const;
  void SendDigests(TimePoint now, Actions& actions);
  // Interval of the digests of the reader to all hosts.
  Duration SlowDigestInterval() const;
  // The hosts to which this one sends or forwards the digests of `reader`: its children in a tree
  // with the reader as root and the others by rank.
  std::vector<HostId> DigestReceivers(HostId reader) const;
  // Records what the digest says of other hosts' reads, and forwards it.
  void RecordForwardedAnswer(TimePoint now, const StoreDigest& digest, Actions& actions);
  // Confirms this host's view with the last digest if it is not older than the digest.
  void ConfirmByDigest(TimePoint now);
  // Confirms this host's view with its own reads.
  void ConfirmByOwnReads(TimePoint now);
  // Asks another host whether something in the store is newer, if the view is stale.
  void SendQuery(TimePoint now, Actions& actions);
  HostId QueriedHost();
  void SendOutageDigests(TimePoint now, Actions& actions);
  // True if this host has a newer configuration or table than the digest shows.
  bool HasNewerThan(const StoreDigest& digest) const;
  bool RanksBefore(HostId host) const;
  void RecordOwnRow(const TableState& state, const FeedBatch& batch);
  // Starts to take part in reading, when the first table is known.
  void Join(TimePoint now);
  // Requests the tables that are not known from the hosts with the best ranks.
  void RequestMissingTables(Actions& actions);
  void SendGreetings(TimePoint now, Actions& actions);
  void RequestTable(TimePoint now, HostId host, TableState& state, Actions& actions);

  HostId self;
  std::string address;
  bool configuration_polled;
  std::vector<TableState> table_states;
  // Hosts of this host's failure domain in order of rank, this host included.
  std::vector<HostId> ranking;
  // The first hosts in rank of the other failure domains.
  std::vector<HostId> remote_readers;
  // What this host knows of the store, and since when.
  StoreFreshness freshness;
  // Digest that confirms this host's view as soon as the host has what it announces, with the time
  // for which it is valid.
  struct Confirmation {
    StoreDigest digest;
    TimePoint at;
  };
  std::optional<Confirmation> pending_confirmation;
  // Time of the last read that was forwarded to other hosts.
  TimePoint last_forwarded_answer;
  std::uint64_t query_count = 0;
  // All hosts except this one.
  std::vector<HostId> other_hosts;
  std::map<HostId, TimePoint> last_digest_at;
  // Hosts of this domain that have registered and got no digest from this host since.
  std::vector<HostId> ungreeted;
  // Time from which this host registers; empty while the first table is not known.
  std::optional<TimePoint> joins_at;
  // Time from which this host may read the other tables, unless a digest arrives before.
  TimePoint first_read_at = TimePoint::max();
  // Time from which this host reads what no peer has sent.
  TimePoint peers_late_at = TimePoint::max();
  // Time from which this host reads the configuration, unless it has one.
  TimePoint configuration_due = TimePoint::max();
  bool requested_missing_tables = false;
  // The first table has a row of this host, from an earlier start.
  bool is_registered = false;
  // Last time at which a host of a better rank reported that the store does not
  // answer it.
  std::optional<TimePoint> failed_takeover_at;
  std::map<HostId, TimePoint> last_reply_at;
  std::uint64_t outage_digest_count = 0;
  std::uint64_t revision = 0;
  std::optional<StoreTimePoint> confirmed_store_time;
  bool reading_configuration = false;
  TimePoint next_configuration_read;
  TimePoint configuration_read_started_at;
  // Start of the last read of the configuration that the store answered.
  std::optional<TimePoint> configuration_confirmed_at;
  // Time of the last answer that told whether there is a newer configuration.
  std::optional<TimePoint> configuration_answered_at;
  // Time up to which this host's reads confirmed its view when it sent the last digests.
  TimePoint last_digest_confirmed_at;
  TimePoint next_slow_digest;
  TimePoint next_remote_digest;
  bool was_reader = false;
  // Time of the last answer of the store to this host.
  std::optional<TimePoint> last_answer_at;
  // Time of the last answer of the store to this host or, by its digest, to another
  // one.
  std::optional<TimePoint> last_known_answer_at;
  // Start of the current outage of the store for this host or its reader; empty if
  // there is none.
  std::optional<TimePoint> outage_start;
};

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibPlatform/table_store.h"
#include "Libraries/LibQuota/quota_part_row.h"

namespace pimentopin {

// Action: read the row of the part and pass it to OnRead().
struct ReadQuotaPart {
  friend bool operator==(const ReadQuotaPart&, const ReadQuotaPart&) = default;
};

// Action: write the row of the part if it has the expected version, and pass the result to
// OnWritten().
struct WriteQuotaPart {
  StoreVersion expected_version;
  std::string value;

  friend bool operator==(const WriteQuotaPart&, const WriteQuotaPart&) = default;
};

enum class QuotaPartEvent : std::uint8_t {
  kAcquired,
  kLost,
  kReleased,
  kRowUnreadable,
  // The row was written again after the store came back from a copy.
  kReclaimed
};

using LeaseAction = std::variant<ReadQuotaPart, WriteQuotaPart, QuotaPartEvent>;

// Decides when this host acquires, renews and releases one part of the quotas. A host holds a part
// from a conditional write that succeeded until the end that it wrote, in the store's time. When
// the store comes back from an older copy, the holder writes its row again, and nobody else writes
// it before the leases of the earlier era have ended.
class QuotaPartLease {
 public:
  static constexpr Duration kLength = std::chrono::seconds(14);
  static constexpr Duration kRenewInterval = std::chrono::seconds(4);
  // Between reads of a row whose holder is usable, in case that it releases the part.
  static constexpr Duration kHeldPollDelay = std::chrono::seconds(2);
  // Between reads of a row whose holder is not, and after calls that failed.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
  // Allows for clocks that don't run at the same rate.
  static constexpr Duration kClockMargin = std::chrono::milliseconds(100);

  // Tells whether a host, by name, is known and neither leaving nor unreachable.
  using IsUsable = std::function<bool(const std::string&)>;

  // `starts_fleet` means that this host starts together with the fleet for the first time, so that
  // nobody has held the part before.
  QuotaPartLease(std::string host_name,
                 std::uint64_t incarnation,
                 IsUsable is_usable,
                 bool starts_fleet = false);

  // Whether this host should hold the part. A part that is no longer wanted is not used from now
  // on, and released.
  std::vector<LeaseAction> SetWanted(BootTimePoint now, const StoreClock& clock, bool wanted);
  // To be called when times that the store stated before mean nothing any more.
  std::vector<LeaseAction> OnStoreClockJumped(BootTimePoint now);
  // To be called with the era of the store before anything is read or written in it.
  std::vector<LeaseAction> OnEra(BootTimePoint now, const StoreClock& clock, StoreEra era);
  // To be called when other hosts have become unusable.
  std::vector<LeaseAction> OnHostsChanged(BootTimePoint now, const StoreClock& clock);
  std::vector<LeaseAction> Tick(BootTimePoint now, const StoreClock& clock);
  // Empty if the read failed. An absent row has version 0.
  std::vector<LeaseAction> OnRead(BootTimePoint now,
                                  const StoreClock& clock,
                                  const std::optional<TableRow>& read);
  // Empty if it is not known whether the write has taken, or will take, effect.
  std::vector<LeaseAction> OnWritten(BootTimePoint now,
                                     const StoreClock& clock,
                                     const std::optional<WriteResult>& result);

  // Reads the row once, and releases it if an earlier process of this host holds it.
  std::vector<LeaseAction> ReleaseFormer(BootTimePoint now, const StoreClock& clock);

  // True while tokens may be granted.
  bool HoldsAt(BootTimePoint now, const StoreClock& clock) const;
  // The holder that the row named when it was last read; empty if unknown or released.
  const std::string& known_holder() const { return this->known_row.holder; }
  // When Tick() is due.
  BootTimePoint NextDeadline(BootTimePoint now, const StoreClock& clock) const;

 private:
  // Whether the row may be replaced by this host's.
  bool MayTake(BootTimePoint now, const StoreClock& clock) const;
  bool IsOwn(const QuotaPartRow& row) const;
  // Whether no lease of an earlier era, of which the row says nothing, can be in use.
  bool IsSettled(BootTimePoint now) const;
  // Whether an earlier process of this host wrote the row.
  bool IsFormer(const QuotaPartRow& row) const;
  // Whether the row may have to be read or written.
  bool HasWork() const;
  void Read(std::vector<LeaseAction>& actions);
  void Write(BootTimePoint now, StoreTimePoint end, std::vector<LeaseAction>& actions);
  void Advance(BootTimePoint now, const StoreClock& clock, std::vector<LeaseAction>& actions);

  const std::string host_name;
  const std::uint64_t incarnation;
  const IsUsable is_usable;
  const bool starts_fleet;
  // Empty if the store states none.
  std::optional<StoreEra> era;
  // When this host has heard of the era.
  BootTimePoint era_known_at;
  // The store was in another era before, as far as this process knows.
  bool era_has_risen = false;
  // This host holds the part by a write of an earlier era.
  bool reclaims = false;
  bool wanted = false;
  // The row has not been read since ReleaseFormer().
  bool checks_former = false;
  bool in_flight = false;
  // Whether known_version and known_row are the result of the last call.
  bool known = false;
  StoreVersion known_version;
  QuotaPartRow known_row;
  bool unreadable = false;
  // When this version of the row was first seen.
  BootTimePoint first_seen_at;
  std::optional<BootTimePoint> clock_jumped_at;
  // Content of the write in flight, and the era in which it was sent.
  QuotaPartRow written;
  std::optional<StoreEra> written_in;
  // Set while this host holds the part.
  std::optional<StoreTimePoint> end;
  BootTimePoint renewal_due;
  BootTimePoint retry_at;
};

}  // namespace pimentopin

#include "Libraries/LibQuota/quota_part_lease.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

QuotaPartLease::QuotaPartLease(std::string host_name,
                               std::uint64_t incarnation,
                               IsUsable is_usable,
                               bool starts_fleet)
    : host_name(std::move(host_name)),
      incarnation(incarnation),
      is_usable(std::move(is_usable)),
      starts_fleet(starts_fleet) {}

std::vector<LeaseAction> QuotaPartLease::SetWanted(BootTimePoint now,
                                                   const StoreClock& clock,
                                                   bool next) {
  std::vector<LeaseAction> actions;
  if (std::exchange(this->wanted, next) == next) {
    return actions;
  }
  this->retry_at = now;
  if (!next && std::exchange(this->end, std::nullopt)) {
    actions.emplace_back(QuotaPartEvent::kReleased);
  }
  this->reclaims = this->reclaims && next;
  // What other hosts did meanwhile is not known.
  if (next) {
    this->known = false;
  }
  this->Advance(now, clock, actions);
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::OnStoreClockJumped(BootTimePoint now) {
  this->clock_jumped_at = now;
  this->reclaims = false;
  if (!std::exchange(this->end, std::nullopt)) {
    return {};
  }
  this->known = false;
  return {QuotaPartEvent::kLost};
}

std::vector<LeaseAction> QuotaPartLease::OnEra(BootTimePoint now,
                                               const StoreClock& clock,
                                               StoreEra next) {
  std::vector<LeaseAction> actions;
  if (this->era == next) {
    return actions;
  }
  this->era_has_risen = this->era.has_value();
  this->era = next;
  this->era_known_at = now;
  if (this->era_has_risen) {
    // The row may be an older one or absent, whatever this host has written.
    this->known = false;
    this->reclaims = this->end.has_value();
    this->renewal_due = now;
    this->retry_at = now;
    this->Advance(now, clock, actions);
  }
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::OnHostsChanged(BootTimePoint now,
                                                        const StoreClock& clock) {
  std::vector<LeaseAction> actions;
  if (this->wanted && !this->end && !this->is_usable(this->known_row.holder)) {
    this->retry_at = std::min(this->retry_at, now + kRetryDelay);
  }
  this->Advance(now, clock, actions);
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::ReleaseFormer(BootTimePoint now, const StoreClock& clock) {
  this->checks_former = true;
  std::vector<LeaseAction> actions;
  this->Advance(now, clock, actions);
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::Tick(BootTimePoint now, const StoreClock& clock) {
  std::vector<LeaseAction> actions;
  this->Advance(now, clock, actions);
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::OnRead(BootTimePoint now,
                                                const StoreClock& clock,
                                                const std::optional<TableRow>& read) {
  std::vector<LeaseAction> actions;
  this->in_flight = false;
  if (read) {
    if (read->version != this->known_version || !this->known) {
      if (read->version != this->known_version) {
        this->first_seen_at = now;
      }
      Error error;
      const auto row = read->version == 0 ? std::optional(QuotaPartRow{})
                                          : DecodeQuotaPartRow(read->value, error);
      this->known_row = row.value_or(QuotaPartRow{});
      if (!row && !std::exchange(this->unreadable, true)) {
        actions.emplace_back(QuotaPartEvent::kRowUnreadable);
      }
      this->unreadable = !row;
      this->known_version = read->version;
    }
    this->known = true;
    this->checks_former = false;
    // A row of the copy does not say who holds the part.
    const bool is_copy = this->reclaims && this->known_row.era != this->era;
    if (this->end && !is_copy && !this->IsOwn(this->known_row)) {
      this->end.reset();
      actions.emplace_back(QuotaPartEvent::kLost);
    }
  }
  const bool may_write =
      read && (!this->wanted || this->end || (clock.Earliest(now) && this->MayTake(now, clock)));
  if (may_write) {
    this->retry_at = now;
  } else {
    const bool is_held = read && this->is_usable(this->known_row.holder);
    this->retry_at = now + (is_held ? kHeldPollDelay : kRetryDelay);
  }
  this->Advance(now, clock, actions);
  return actions;
}

std::vector<LeaseAction> QuotaPartLease::OnWritten(BootTimePoint now,
                                                   const StoreClock& clock,
                                                   const std::optional<WriteResult>& result) {
  std::vector<LeaseAction> actions;
  this->in_flight = false;
  if (!result) {
    this->known = false;
    this->retry_at = now + kRetryDelay;
  } else if (!result->applied) {
    // Nobody else writes while this host holds the part, except for a late write of its own.
    this->known = false;
    this->retry_at = now;
    if (!this->reclaims && std::exchange(this->end, std::nullopt)) {
      actions.emplace_back(QuotaPartEvent::kLost);
    }
  } else if (this->era && this->written_in != this->era) {
    // It was sent before the store came back, and replaced a row that this host has not read.
    this->known = false;
    this->retry_at = now;
  } else {
    this->known = true;
    this->known_version = result->version;
    this->known_row = this->written;
    this->unreadable = false;
    this->first_seen_at = now;
    this->retry_at = now;
    // A part that was given up while its row was written is released by Advance().
    if (this->wanted && this->IsOwn(this->written)) {
      if (!this->end) {
        actions.emplace_back(QuotaPartEvent::kAcquired);
      } else if (this->reclaims) {
        actions.emplace_back(QuotaPartEvent::kReclaimed);
      }
      this->reclaims = false;
      this->end = this->written.end;
      this->renewal_due = now + kRenewInterval;
    }
  }
  this->Advance(now, clock, actions);
  return actions;
}

bool QuotaPartLease::HoldsAt(BootTimePoint now, const StoreClock& clock) const {
  const std::optional<StoreTimePoint> latest = clock.Latest(now);
  return this->end && latest && *latest < *this->end;
}

BootTimePoint QuotaPartLease::NextDeadline(BootTimePoint now, const StoreClock& clock) const {
  BootTimePoint next = BootTimePoint::max();
  if (this->end) {
    const std::optional<StoreTimePoint> latest = clock.Latest(now);
    next = latest ? now + std::max(*this->end - *latest, Duration::zero()) : now;
  }
  if (!this->in_flight && this->HasWork()) {
    next = std::min(next, this->end ? std::max(this->renewal_due, this->retry_at) : this->retry_at);
  }
  return next;
}

bool QuotaPartLease::IsOwn(const QuotaPartRow& row) const {
  return row.holder == this->host_name && row.incarnation == this->incarnation;
}

bool QuotaPartLease::IsFormer(const QuotaPartRow& row) const {
  return row.holder == this->host_name && row.incarnation != this->incarnation;
}

bool QuotaPartLease::HasWork() const {
  // A row that no process of this host has written needs no release. That of an earlier one would
  // otherwise keep the part from its new holder until it ends.
  return this->wanted || this->checks_former || this->IsOwn(this->known_row) ||
         this->IsFormer(this->known_row) || (!this->known && this->IsOwn(this->written));
}

bool QuotaPartLease::IsSettled(BootTimePoint now) const {
  if (this->era.value_or(0) == 0 || this->known_row.era == this->era) {
    return true;
  }
  const bool is_first_row =
      this->starts_fleet && !this->era_has_risen && this->known_version.is_zero();
  // All leases of earlier eras were written before this host heard of this one.
  return is_first_row || now - this->era_known_at > kLength + kClockMargin;
}

bool QuotaPartLease::MayTake(BootTimePoint now, const StoreClock& clock) const {
  if (!this->IsSettled(now)) {
    return false;
  }
  // A machine runs one process: an earlier one of this name has ended.
  const bool is_free = this->known_row.holder.empty() || this->known_row.holder == this->host_name;
  if (!this->unreadable && is_free) {
    return true;
  }
  // Whoever wrote the row has stopped by then, whatever it states.
  if (now - this->first_seen_at > kLength + kClockMargin) {
    return true;
  }
  const bool states_end =
      !this->unreadable && (!this->clock_jumped_at || now - *this->clock_jumped_at > kLength);
  const std::optional<StoreTimePoint> earliest = clock.Earliest(now);
  return states_end && earliest && *earliest > this->known_row.end + kClockMargin;
}

void QuotaPartLease::Read(std::vector<LeaseAction>& actions) {
  this->in_flight = true;
  actions.emplace_back(ReadQuotaPart{});
}

void QuotaPartLease::Write(BootTimePoint now,
                           StoreTimePoint next_end,
                           std::vector<LeaseAction>& actions) {
  this->in_flight = true;
  this->written =
      this->wanted ? QuotaPartRow{this->host_name, this->incarnation, next_end} : QuotaPartRow{};
  // A release of what a copy says must not tell other hosts that the part is free.
  const bool knows_holder = this->end || this->IsSettled(now);
  this->written.era = knows_holder ? this->era.value_or(0) : this->known_row.era;
  this->written_in = this->era;
  actions.emplace_back(WriteQuotaPart{this->known_version, EncodeQuotaPartRow(this->written)});
}

void QuotaPartLease::Advance(BootTimePoint now,
                             const StoreClock& clock,
                             std::vector<LeaseAction>& actions) {
  if (this->end && !this->HoldsAt(now, clock)) {
    this->end.reset();
    this->reclaims = false;
    actions.emplace_back(QuotaPartEvent::kLost);
  }
  if (this->in_flight || now < this->retry_at || !this->HasWork()) {
    return;
  }
  if (!this->wanted) {
    if (this->known) {
      this->Write(now, {}, actions);
    } else {
      this->Read(actions);
    }
    return;
  }
  const std::optional<StoreTimePoint> earliest = clock.Earliest(now);
  if (this->end && now < this->renewal_due) {
    return;
  }
  // A part is held only after a write of this process succeeded: one that it sent before, a release
  // for example, may still be on its way, and takes no effect on a row with a new version.
  if (!this->known || !earliest) {
    this->Read(actions);
  } else if (this->end || this->MayTake(now, clock)) {
    this->Write(now, *earliest + kLength, actions);
  } else {
    this->Read(actions);
  }
}

}  // namespace pimentopin

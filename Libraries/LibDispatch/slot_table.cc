#include "Libraries/LibDispatch/slot_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentopin {

bool SlotTable::Add(TimePoint now, AttemptId attempt, SlotHolder holder) {
  if (this->recently_ended.contains(attempt) || this->holders.contains(attempt)) {
    return false;
  }
  holder.held_since = now;
  Count& count = this->counts[holder.target];
  ++count.total;
  if (holder.work_class == WorkClass::kLong) {
    ++count.long_work;
    ++this->long_total;
  }
  this->by_host[holder.host].insert(attempt);
  count.holders.push_back(&this->holders.emplace(attempt, holder).first->second);
  return true;
}

void SlotTable::Erase(TimePoint now, std::map<AttemptId, SlotHolder>::iterator position) {
  const auto& [attempt, holder] = *position;
  Count& count = this->counts[holder.target];
  --count.total;
  std::erase(count.holders, &holder);
  if (holder.work_class == WorkClass::kLong) {
    --count.long_work;
    --this->long_total;
  }
  if (count.total == 0) {
    this->counts.erase(holder.target);
  }
  const auto host = this->by_host.find(holder.host);
  host->second.erase(attempt);
  if (host->second.empty()) {
    this->by_host.erase(host);
  }
  this->recently_ended[attempt] = now;
  this->holders.erase(position);
}

bool SlotTable::Free(TimePoint now, AttemptId attempt) {
  const auto position = this->holders.find(attempt);
  if (position == this->holders.end()) {
    this->recently_ended[attempt] = now;
    return false;
  }
  this->Erase(now, position);
  return true;
}

void SlotTable::FreeHost(TimePoint now, HostId host) {
  const auto host_attempts = this->by_host.find(host);
  if (host_attempts == this->by_host.end()) {
    return;
  }
  const std::set<AttemptId> attempts = host_attempts->second;
  for (const AttemptId attempt : attempts) {
    this->Free(now, attempt);
    // If the host is still alive, its next report restores the attempt.
    this->recently_ended.erase(attempt);
  }
}

void SlotTable::Reconcile(TimePoint now,
                          HostId host,
                          const std::vector<OutstandingAttempt>& outstanding) {
  this->reported_at[host] = now;
  std::set<AttemptId> reported;
  for (const OutstandingAttempt& item : outstanding) {
    reported.insert(item.attempt);
    const auto known = this->holders.find(item.attempt);
    if (known != this->holders.end() && known->second.target != item.target) {
      this->Erase(now, known);
      this->recently_ended.erase(item.attempt);
    }
    this->Add(now, item.attempt,
              {.host = host,
               .target = item.target,
               .work_class = item.work_class,
               .work = {.work_class = item.work_class}});
  }
  const auto host_attempts = this->by_host.find(host);
  if (host_attempts == this->by_host.end()) {
    return;
  }
  const std::set<AttemptId> attempts = host_attempts->second;
  for (const AttemptId attempt : attempts) {
    if (!reported.contains(attempt) &&
        now - this->holders.at(attempt).held_since > kReportGracePeriod) {
      this->Free(now, attempt);
    }
  }
}

bool SlotTable::Expire(TimePoint now) {
  std::erase_if(this->recently_ended,
                [now](const auto& item) { return now - item.second > kReportTimeout; });
  std::vector<AttemptId> expired;
  for (const auto& [attempt, holder] : this->holders) {
    const auto report = this->reported_at.find(holder.host);
    const TimePoint last_confirmed = report == this->reported_at.end()
                                         ? holder.held_since
                                         : std::max(holder.held_since, report->second);
    if (now - last_confirmed > kReportTimeout) {
      expired.push_back(attempt);
    }
  }
  for (const AttemptId attempt : expired) {
    this->Free(now, attempt);
    this->recently_ended.erase(attempt);
  }
  std::erase_if(this->reported_at, [this, now](const auto& item) {
    return !this->by_host.contains(item.first) && now - item.second > kReportTimeout;
  });
  return !expired.empty();
}

void SlotTable::ExtendTimeouts(Duration pause) {
  for (auto& [attempt, holder] : this->holders) {
    holder.held_since += pause;
  }
  for (auto& [host, at] : this->reported_at) {
    at += pause;
  }
}

std::vector<TargetId> SlotTable::TakeOverdueTargets(TimePoint now,
                                                    Duration short_limit,
                                                    Duration long_limit) {
  std::map<TargetId, std::vector<SlotHolder*>> overdue;
  for (auto& [attempt, holder] : this->holders) {
    const Duration limit = holder.work_class == WorkClass::kLong ? long_limit : short_limit;
    // An attempt that waits in the target's queue is expected to take longer.
    if (holder.queue_factor == 1.0 && now - holder.held_since > limit) {
      overdue[holder.target].push_back(&holder);
    }
  }
  std::vector<TargetId> targets;
  for (const auto& [target, attempts] : overdue) {
    if (attempts.size() < kMinOverdueAttempts) {
      continue;
    }
    for (SlotHolder* const holder : attempts) {
      if (!std::exchange(holder->overdue, true)) {
        targets.push_back(target);
      }
    }
  }
  return targets;
}

const SlotHolder* SlotTable::Find(AttemptId attempt) const {
  const auto position = this->holders.find(attempt);
  return position == this->holders.end() ? nullptr : &position->second;
}

std::uint32_t SlotTable::CountAt(TargetId target) const {
  const auto position = this->counts.find(target);
  return position == this->counts.end() ? 0 : position->second.total;
}

std::uint32_t SlotTable::LongCountAt(TargetId target) const {
  const auto position = this->counts.find(target);
  return position == this->counts.end() ? 0 : position->second.long_work;
}

const std::vector<const SlotHolder*>& SlotTable::HoldersAt(TargetId target) const {
  static const std::vector<const SlotHolder*> no_holders;
  const auto position = this->counts.find(target);
  return position == this->counts.end() ? no_holders : position->second.holders;
}

}  // namespace pimentopin

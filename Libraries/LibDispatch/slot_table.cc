#include "Libraries/LibDispatch/slot_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentopin {

bool SlotTable::Add(TimePoint now, AttemptId attempt, SlotHolder holder) {
  if (this->ended.contains(attempt) || this->holders.contains(attempt)) {
    return false;
  }
  holder.since = now;
  Count& count = this->counts[holder.target];
  ++count.all;
  if (holder.work_class == WorkClass::kLong) {
    ++count.long_work;
    ++this->long_total;
  }
  this->by_host[holder.host].insert(attempt);
  this->holders.emplace(attempt, holder);
  return true;
}

void SlotTable::Erase(TimePoint now, std::map<AttemptId, SlotHolder>::iterator position) {
  const auto& [attempt, holder] = *position;
  Count& count = this->counts[holder.target];
  --count.all;
  if (holder.work_class == WorkClass::kLong) {
    --count.long_work;
    --this->long_total;
  }
  if (count.all == 0) {
    this->counts.erase(holder.target);
  }
  const auto host = this->by_host.find(holder.host);
  host->second.erase(attempt);
  if (host->second.empty()) {
    this->by_host.erase(host);
  }
  this->ended[attempt] = now;
  this->holders.erase(position);
}

bool SlotTable::Free(TimePoint now, AttemptId attempt) {
  const auto position = this->holders.find(attempt);
  if (position == this->holders.end()) {
    this->ended[attempt] = now;
    return false;
  }
  this->Erase(now, position);
  return true;
}

void SlotTable::FreeHost(TimePoint now, HostId host) {
  const auto held = this->by_host.find(host);
  if (held == this->by_host.end()) {
    return;
  }
  const std::set<AttemptId> attempts = held->second;
  for (const AttemptId attempt : attempts) {
    this->Free(now, attempt);
    // The host may be alive after all; its next report restores the attempt.
    this->ended.erase(attempt);
  }
}

void SlotTable::Reconcile(TimePoint now,
                          HostId host,
                          const std::vector<OutstandingAttempt>& outstanding) {
  this->reported_at[host] = now;
  std::set<AttemptId> listed;
  for (const OutstandingAttempt& item : outstanding) {
    listed.insert(item.attempt);
    const auto known = this->holders.find(item.attempt);
    if (known != this->holders.end() && known->second.target != item.target) {
      this->Erase(now, known);
      this->ended.erase(item.attempt);
    }
    this->Add(now, item.attempt,
              {.host = host, .target = item.target, .work_class = item.work_class});
  }
  const auto held = this->by_host.find(host);
  if (held == this->by_host.end()) {
    return;
  }
  const std::set<AttemptId> attempts = held->second;
  for (const AttemptId attempt : attempts) {
    if (!listed.contains(attempt) && now - this->holders.at(attempt).since > kReportGrace) {
      this->Free(now, attempt);
    }
  }
}

bool SlotTable::Expire(TimePoint now) {
  std::erase_if(this->ended,
                [now](const auto& item) { return now - item.second > kReportTimeout; });
  std::vector<AttemptId> expired;
  for (const auto& [attempt, holder] : this->holders) {
    const auto report = this->reported_at.find(holder.host);
    const TimePoint confirmed =
        report == this->reported_at.end() ? holder.since : std::max(holder.since, report->second);
    if (now - confirmed > kReportTimeout) {
      expired.push_back(attempt);
    }
  }
  for (const AttemptId attempt : expired) {
    this->Free(now, attempt);
    this->ended.erase(attempt);
  }
  std::erase_if(this->reported_at, [this, now](const auto& item) {
    return !this->by_host.contains(item.first) && now - item.second > kReportTimeout;
  });
  return !expired.empty();
}

void SlotTable::ExtendTimeouts(Duration pause) {
  for (auto& [attempt, holder] : this->holders) {
    holder.since += pause;
  }
  for (auto& [host, at] : this->reported_at) {
    at += pause;
  }
}

std::vector<TargetId> SlotTable::TakeOverdue(TimePoint now,
                                             Duration short_limit,
                                             Duration long_limit) {
  std::map<TargetId, std::vector<SlotHolder*>> overdue;
  for (auto& [attempt, holder] : this->holders) {
    const Duration limit = holder.work_class == WorkClass::kLong ? long_limit : short_limit;
    // An attempt that joined the target's queue is expected to take longer.
    if (holder.queue_factor == 1.0 && now - holder.since > limit) {
      overdue[holder.target].push_back(&holder);
    }
  }
  std::vector<TargetId> targets;
  for (const auto& [target, attempts] : overdue) {
    if (attempts.size() < kOverdueTogether) {
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
  return position == this->counts.end() ? 0 : position->second.all;
}

std::uint32_t SlotTable::LongCountAt(TargetId target) const {
  const auto position = this->counts.find(target);
  return position == this->counts.end() ? 0 : position->second.long_work;
}

}  // namespace pimentopin

#include "Libraries/LibDispatch/fair_queue.h"

#include <algorithm>
#include <limits>
#include <queue>

namespace pimentopin {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
// Credit that a level can hold, so that a level whose entries have no target does not go first for
// long afterwards.
constexpr double kMaxCredit = 2.0;

}  // namespace

std::size_t FairQueue::Level::size() const {
  std::size_t size = 0;
  for (const auto& [organisation, flow] : this->flows) {
    size += flow.entries.size();
  }
  return size;
}

const FairQueue::Flow* FairQueue::Level::LargestFlow() const {
  const Flow* largest = nullptr;
  for (const auto& [organisation, flow] : this->flows) {
    if (largest == nullptr || flow.entries.size() > largest->entries.size()) {
      largest = &flow;
    }
  }
  return largest;
}

const FairQueue::ClassQueue& FairQueue::QueueOf(WorkClass work_class) const {
  return work_class == WorkClass::kShort ? this->short_work : this->long_work;
}

FairQueue::ClassQueue& FairQueue::QueueOf(WorkClass work_class) {
  return work_class == WorkClass::kShort ? this->short_work : this->long_work;
}

double FairQueue::MinimumShareOf(std::uint32_t priority) const {
  return this->minimum_share ? this->minimum_share(priority) : 0.0;
}

bool FairQueue::Push(QueueEntry entry) {
  const SlotRequest& request = entry.request;
  const auto key = std::tuple(request.work_class, request.priority, request.organisation);
  if (!this->entry_index.emplace(request.attempt, key).second) {
    return false;
  }
  Level& level = this->QueueOf(request.work_class)[request.priority];
  Flow& flow = level.flows[request.organisation];
  if (flow.entries.empty()) {
    flow.start_tag = std::max(flow.start_tag, level.virtual_time);
  }
  flow.entries.push_back(std::move(entry));
  return true;
}

std::optional<QueueEntry> FairQueue::Dequeue(AttemptId attempt) {
  return this->Extract(attempt, true);
}

std::optional<QueueEntry> FairQueue::Remove(AttemptId attempt) {
  return this->Extract(attempt, false);
}

std::optional<QueueEntry> FairQueue::Extract(AttemptId attempt, bool served) {
  const auto found = this->entry_index.find(attempt);
  if (found == this->entry_index.end()) {
    return std::nullopt;
  }
  const auto [work_class, priority, organisation] = found->second;
  this->entry_index.erase(found);
  ClassQueue& queue = this->QueueOf(work_class);
  Level& level = queue.at(priority);
  Flow& flow = level.flows.at(organisation);
  const auto position =
      std::find_if(flow.entries.begin(), flow.entries.end(),
                   [attempt](const QueueEntry& entry) { return entry.request.attempt == attempt; });
  QueueEntry entry = std::move(*position);
  flow.entries.erase(position);
  if (served) {
    level.virtual_time = std::max(level.virtual_time, flow.start_tag);
    flow.start_tag += 1;
    this->AddCredit(queue, priority);
  }
  std::erase_if(level.flows, [&level](const auto& item) {
    return item.second.entries.empty() && item.second.start_tag <= level.virtual_time;
  });
  return entry;
}

void FairQueue::AddCredit(ClassQueue& queue, std::uint32_t served_priority) const {
  for (auto& [priority, level] : queue) {
    if (priority == served_priority) {
      level.credit = std::max(0.0, level.credit - 1);
    } else if (priority > served_priority && level.size() > 0) {
      level.credit = std::min(level.credit + this->MinimumShareOf(priority), kMaxCredit);
    }
  }
}

bool FairQueue::Contains(AttemptId attempt) const {
  return this->entry_index.contains(attempt);
}

std::size_t FairQueue::SizeOf(WorkClass work_class) const {
  std::size_t size = 0;
  for (const auto& [priority, level] : this->QueueOf(work_class)) {
    size += level.size();
  }
  return size;
}

bool FairQueue::VisitLevel(const Level& level,
                           std::size_t skipped,
                           std::size_t limit,
                           const std::function<bool(const QueueEntry&)>& visit) {
  // Next entry of a flow; the flows are in the order of their organisations.
  struct Next {
    double tag = 0;
    TimePoint arrived;
    std::size_t flow_index = 0;
    const Flow* flow = nullptr;
    std::size_t entry_index = 0;

    bool operator<(const Next& other) const {
      return std::tie(other.tag, other.arrived, other.flow_index) <
             std::tie(this->tag, this->arrived, this->flow_index);
    }
  };
  std::vector<Next> first;
  for (const auto& [organisation, flow] : level.flows) {
    if (!flow.entries.empty()) {
      first.push_back({flow.start_tag, flow.entries.front().arrived, first.size(), &flow, 0});
    }
  }
  std::priority_queue<Next> next(std::less<Next>(), std::move(first));
  for (std::size_t visited = 0; !next.empty() && visited < limit; ++visited) {
    Next current = next.top();
    next.pop();
    if (visited >= skipped && visit(current.flow->entries[current.entry_index])) {
      return true;
    }
    if (++current.entry_index < current.flow->entries.size()) {
      current.tag += 1;
      current.arrived = current.flow->entries[current.entry_index].arrived;
      next.push(current);
    }
  }
  return false;
}

bool FairQueue::VisitInServiceOrder(WorkClass work_class,
                                    const std::function<bool(const QueueEntry&)>& visit) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  const auto is_due = [](const Level& level) { return level.credit >= 1; };
  for (const auto& [priority, level] : queue) {
    if (is_due(level) && VisitLevel(level, 0, 1, visit)) {
      return true;
    }
  }
  return std::any_of(queue.begin(), queue.end(), [&](const auto& item) {
    return VisitLevel(item.second, is_due(item.second) ? 1 : 0, kNoLimit, visit);
  });
}

std::vector<const QueueEntry*> FairQueue::InServiceOrder(WorkClass work_class) const {
  std::vector<const QueueEntry*> ordered;
  this->VisitInServiceOrder(work_class, [&ordered](const QueueEntry& entry) {
    ordered.push_back(&entry);
    return false;
  });
  return ordered;
}

std::vector<const QueueEntry*> FairQueue::All() const {
  std::vector<const QueueEntry*> all = this->InServiceOrder(WorkClass::kShort);
  const std::vector<const QueueEntry*> long_entries = this->InServiceOrder(WorkClass::kLong);
  all.insert(all.end(), long_entries.begin(), long_entries.end());
  return all;
}

std::size_t FairQueue::CountAhead(WorkClass work_class,
                                  OrganisationId organisation,
                                  std::uint32_t priority) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  const auto found = queue.find(priority);
  if (found == queue.end()) {
    return 0;
  }
  const Level& level = found->second;
  double new_entry_tag = level.virtual_time;
  const auto own_flow = level.flows.find(organisation);
  if (own_flow != level.flows.end()) {
    new_entry_tag = std::max(new_entry_tag, own_flow->second.start_tag) +
                    static_cast<double>(own_flow->second.entries.size());
  }
  std::size_t ahead = 0;
  for (const auto& [other, flow] : level.flows) {
    // Counts entries with the tags start_tag, start_tag + 1, ... up to and
    // including new_entry_tag.
    const double entries_before = new_entry_tag - flow.start_tag + 1;
    if (entries_before > 0) {
      ahead += std::min(flow.entries.size(), static_cast<std::size_t>(entries_before));
    }
  }
  return ahead;
}

QueuePosition FairQueue::PositionOf(WorkClass work_class,
                                    OrganisationId organisation,
                                    std::uint32_t priority) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  QueuePosition position{.equal = this->CountAhead(work_class, organisation, priority)};
  for (auto level = queue.begin(); level != queue.lower_bound(priority); ++level) {
    position.more_urgent += level->second.size();
  }
  return position;
}

std::optional<AttemptId> FairQueue::EvictionCandidate(WorkClass work_class,
                                                      OrganisationId organisation,
                                                      std::uint32_t priority) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  const auto total = static_cast<double>(this->SizeOf(work_class));
  // Entries of a level beyond its minimum share of the queue.
  const auto beyond_minimum = [this, total](std::uint32_t level_priority, const Level& level) {
    return static_cast<double>(level.size()) - this->MinimumShareOf(level_priority) * total;
  };
  for (auto less_urgent = queue.rbegin();
       less_urgent != queue.rend() && less_urgent->first > priority; ++less_urgent) {
    const auto& [level_priority, level] = *less_urgent;
    if (level.size() > 0 && beyond_minimum(level_priority, level) >= 1) {
      return level.LargestFlow()->entries.back().request.attempt;
    }
  }
  const auto own_level = queue.find(priority);
  if (own_level != queue.end()) {
    const auto own_flow = own_level->second.flows.find(organisation);
    const std::size_t own_size =
        own_flow == own_level->second.flows.end() ? 0 : own_flow->second.entries.size();
    const Flow* largest = own_level->second.LargestFlow();
    if (largest != nullptr && largest->entries.size() >= own_size + 2) {
      return largest->entries.back().request.attempt;
    }
  }
  const double own_excess = own_level == queue.end() ? -this->MinimumShareOf(priority) * total
                                                     : beyond_minimum(priority, own_level->second);
  if (own_excess > -1) {
    return std::nullopt;
  }
  const Level* fullest = nullptr;
  for (const auto& [other, level] : queue) {
    if (other < priority && (fullest == nullptr || level.size() > fullest->size())) {
      fullest = &level;
    }
  }
  return fullest != nullptr && fullest->size() > 0
             ? std::optional(fullest->LargestFlow()->entries.back().request.attempt)
             : std::nullopt;
}

}  // namespace pimentopin

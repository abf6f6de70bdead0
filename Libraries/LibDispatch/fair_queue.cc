#include "Libraries/LibDispatch/fair_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pimentopin {

const FairQueue::ClassQueue& FairQueue::QueueOf(WorkClass work_class) const {
  return work_class == WorkClass::kShort ? this->short_work : this->long_work;
}

FairQueue::ClassQueue& FairQueue::QueueOf(WorkClass work_class) {
  return work_class == WorkClass::kShort ? this->short_work : this->long_work;
}

bool FairQueue::Push(QueueEntry entry) {
  const SlotRequest& request = entry.request;
  const auto key = std::pair(request.work_class, request.organisation);
  if (!this->entry_index.emplace(request.attempt, key).second) {
    return false;
  }
  ClassQueue& queue = this->QueueOf(request.work_class);
  Flow& flow = queue.flows[request.organisation];
  if (flow.entries.empty()) {
    flow.start_tag = std::max(flow.start_tag, queue.virtual_time);
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
  const auto [work_class, organisation] = found->second;
  this->entry_index.erase(found);
  ClassQueue& queue = this->QueueOf(work_class);
  Flow& flow = queue.flows[organisation];
  const auto position =
      std::find_if(flow.entries.begin(), flow.entries.end(),
                   [attempt](const QueueEntry& entry) { return entry.request.attempt == attempt; });
  QueueEntry entry = std::move(*position);
  flow.entries.erase(position);
  if (served) {
    queue.virtual_time = std::max(queue.virtual_time, flow.start_tag);
    flow.start_tag += 1;
  }
  DropIdleFlows(queue);
  return entry;
}

void FairQueue::DropIdleFlows(ClassQueue& queue) {
  std::erase_if(queue.flows, [&queue](const auto& item) {
    return item.second.entries.empty() && item.second.start_tag <= queue.virtual_time;
  });
}

bool FairQueue::Contains(AttemptId attempt) const {
  return this->entry_index.contains(attempt);
}

std::size_t FairQueue::SizeOf(WorkClass work_class) const {
  std::size_t size = 0;
  for (const auto& [organisation, flow] : this->QueueOf(work_class).flows) {
    size += flow.entries.size();
  }
  return size;
}

std::vector<const QueueEntry*> FairQueue::InServiceOrder(WorkClass work_class) const {
  std::vector<std::tuple<double, TimePoint, const QueueEntry*>> tagged;
  for (const auto& [organisation, flow] : this->QueueOf(work_class).flows) {
    double start_tag = flow.start_tag;
    for (const QueueEntry& entry : flow.entries) {
      tagged.emplace_back(start_tag, entry.arrived, &entry);
      start_tag += 1;
    }
  }
  std::stable_sort(tagged.begin(), tagged.end(), [](const auto& left, const auto& right) {
    return std::tie(std::get<0>(left), std::get<1>(left)) <
           std::tie(std::get<0>(right), std::get<1>(right));
  });
  std::vector<const QueueEntry*> ordered;
  ordered.reserve(tagged.size());
  for (const auto& item : tagged) {
    ordered.push_back(std::get<2>(item));
  }
  return ordered;
}

std::vector<const QueueEntry*> FairQueue::All() const {
  std::vector<const QueueEntry*> all = this->InServiceOrder(WorkClass::kShort);
  const std::vector<const QueueEntry*> long_entries = this->InServiceOrder(WorkClass::kLong);
  all.insert(all.end(), long_entries.begin(), long_entries.end());
  return all;
}

std::size_t FairQueue::CountAhead(WorkClass work_class, OrganisationId organisation) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  double new_entry_tag = queue.virtual_time;
  const auto own_flow = queue.flows.find(organisation);
  if (own_flow != queue.flows.end()) {
    new_entry_tag = std::max(new_entry_tag, own_flow->second.start_tag) +
                    static_cast<double>(own_flow->second.entries.size());
  }
  std::size_t ahead = 0;
  for (const auto& [other, flow] : queue.flows) {
    // Counts entries with the tags start_tag, start_tag + 1, ... up to and
    // including new_entry_tag.
    const double entries_before = new_entry_tag - flow.start_tag + 1;
    if (entries_before > 0) {
      ahead += std::min(flow.entries.size(), static_cast<std::size_t>(entries_before));
    }
  }
  return ahead;
}

std::optional<AttemptId> FairQueue::EvictionCandidate(WorkClass work_class,
                                                      OrganisationId organisation) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  const auto own_flow = queue.flows.find(organisation);
  const std::size_t own_size = own_flow == queue.flows.end() ? 0 : own_flow->second.entries.size();
  const Flow* largest = nullptr;
  for (const auto& [other, flow] : queue.flows) {
    if (largest == nullptr || flow.entries.size() > largest->entries.size()) {
      largest = &flow;
    }
  }
  if (largest == nullptr || largest->entries.size() < own_size + 2) {
    return std::nullopt;
  }
  return largest->entries.back().request.attempt;
}

}  // namespace pimentopin

#include "Libraries/LibReport/summary_writer.h"

#include <utility>

namespace pimentopin {

SummaryWriter::SummaryWriter(ObjectStore& object_store) : store(object_store) {}

void SummaryWriter::Add(HostSummary summary) {
  this->state->summaries.push_back(std::move(summary));
  if (this->state->summaries.size() > kMaxUnwritten) {
    JoinOldest(*this->state);
  }
}

void SummaryWriter::Tick(TimePoint now) {
  State& current = *this->state;
  const bool waits = current.last_failed && now - current.last_start < kRetryInterval;
  if (current.summaries.empty() || current.is_writing || waits) {
    return;
  }
  current.is_writing = true;
  current.first_was_sent = true;
  current.last_start = now;
  const HostSummary& first = current.summaries.front();
  const std::weak_ptr<State> weak_state = this->state;
  this->store.PutIfAbsent(first.Key(), SummaryToJson(first),
                          [weak_state](bool stored, const Error& error) {
                            const std::shared_ptr<State> locked = weak_state.lock();
                            if (!locked) {
                              return;
                            }
                            locked->is_writing = false;
                            locked->last_failed = !stored;
                            locked->last_error = stored ? Error() : error;
                            if (stored) {
                              locked->summaries.pop_front();
                              locked->first_was_sent = false;
                            }
                          });
}

void SummaryWriter::JoinOldest(State& state) {
  std::deque<HostSummary>& summaries = state.summaries;
  const std::size_t first = state.first_was_sent ? 1 : 0;
  for (std::size_t position = first; position + 1 < summaries.size(); ++position) {
    // A joined summary belongs to one month.
    if (summaries[position].Month() == summaries[position + 1].Month()) {
      summaries[position] = Joined(summaries[position], summaries[position + 1]);
      summaries.erase(summaries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
      return;
    }
  }
  summaries.erase(summaries.begin() + static_cast<std::ptrdiff_t>(first));
  ++state.dropped;
}

}  // namespace pimentopin

#include "Libraries/LibReport/summary_writer.h"

#include <utility>

namespace pimentopin {

SummaryWriter::SummaryWriter(ObjectStore& object_store, DropHandler on_dropped)
    : store(object_store), on_dropped(std::move(on_dropped)) {}

void SummaryWriter::Add(HostSummary summary) {
  this->state->summaries.push_back(std::move(summary));
  if (this->state->summaries.size() > kMaxPendingWrites) {
    this->MergeOldest();
  }
}

void SummaryWriter::Write(TimePoint now, Duration retry_interval) {
  State& current = *this->state;
  const bool is_waiting_to_retry =
      current.last_write_failed && now - current.last_write_started_at < retry_interval;
  if (current.summaries.empty() || current.is_writing || is_waiting_to_retry) {
    return;
  }
  current.is_writing = true;
  current.first_write_started = true;
  current.last_write_started_at = now;
  const HostSummary& first = current.summaries.front();
  const std::weak_ptr<State> weak_state = this->state;
  this->store.PutIfAbsent(first.Key(), SummaryToJson(first),
                          [weak_state](bool stored, const Error& error) {
                            const std::shared_ptr<State> locked = weak_state.lock();
                            if (!locked) {
                              return;
                            }
                            locked->is_writing = false;
                            locked->last_write_failed = !stored;
                            locked->last_error = stored ? Error() : error;
                            if (stored) {
                              locked->summaries.pop_front();
                              locked->first_write_started = false;
                            }
                          });
}

void SummaryWriter::MergeOldest() {
  std::deque<HostSummary>& summaries = this->state->summaries;
  const std::size_t first_mergeable = this->state->first_write_started ? 1 : 0;
  for (std::size_t position = first_mergeable; position + 1 < summaries.size(); ++position) {
    // The key of a merged summary names one month, so both must be of that month.
    if (summaries[position].Month() == summaries[position + 1].Month()) {
      summaries[position] = MergeSummaries(summaries[position], summaries[position + 1]);
      summaries.erase(summaries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
      return;
    }
  }
  const auto oldest = summaries.begin() + static_cast<std::ptrdiff_t>(first_mergeable);
  const HostSummary dropped = std::move(*oldest);
  summaries.erase(oldest);
  if (this->on_dropped) {
    this->on_dropped(dropped);
  }
}

}  // namespace pimentopin

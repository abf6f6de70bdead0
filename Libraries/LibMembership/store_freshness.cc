#include "Libraries/LibMembership/store_freshness.h"

#include <algorithm>

namespace pimentopin {

void StoreFreshness::Confirm(TimePoint at, HostId confirming_reader) {
  if (this->last_confirmed_at && at <= *this->last_confirmed_at) {
    return;
  }
  this->last_confirmed_at = at;
  this->last_reader = confirming_reader;
  this->query_count = 0;
  this->retry_interval = kMinRetryInterval;
  this->next_query = at + kMaxAge;
  this->next_read = this->next_query;
}

void StoreFreshness::RecordOutage(TimePoint now) {
  // Several reports of one outage count once.
  if (!this->last_confirmed_at || this->next_read > now) {
    return;
  }
  this->next_read = now + this->retry_interval;
  this->retry_interval = std::min(this->retry_interval * 2, Duration(kMaxRetryInterval));
}

bool StoreFreshness::TakeQuery(TimePoint now) {
  if (now < this->NextDeadline()) {
    return false;
  }
  ++this->query_count;
  this->next_query =
      now + (this->query_count <= kQueriesBeforeRead ? kQueryInterval : this->retry_interval);
  return true;
}

TimePoint StoreFreshness::ReadableFrom() const {
  return this->query_count > kQueriesBeforeRead ? this->next_read : TimePoint::max();
}

TimePoint StoreFreshness::NextDeadline() const {
  return this->last_confirmed_at ? this->next_query : TimePoint::max();
}

}  // namespace pimentopin

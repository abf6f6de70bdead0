#include "Libraries/LibIdempotency/write_batch.h"

namespace pimentopin {

bool WriteBatch::Add(const Origin& origin, const ConditionalWrite& write) {
  const std::size_t added = write.key.size() + write.value.size();
  if (!this->empty() &&
      (this->batch_writes.size() >= kMaxWrites || this->bytes + added > kMaxBytes)) {
    return false;
  }
  this->batch_writes.push_back(write);
  this->batch_origins.push_back(origin);
  this->bytes += added;
  return true;
}

}  // namespace pimentopin

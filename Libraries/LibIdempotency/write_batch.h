#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// Writes that go to the table in one call, with the operation each belongs to.
class WriteBatch {
 public:
  static constexpr std::size_t kMaxWrites = 100;
  // Leaves room below 1 MiB for the escaping of values inside the body of the call.
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  struct Origin {
    AttemptId attempt{};
    std::uint64_t operation = 0;

    friend bool operator==(const Origin&, const Origin&) = default;
  };

  // False if the write needs another call. An empty batch accepts any write.
  bool Add(const Origin& origin, const ConditionalWrite& write);

  bool empty() const { return this->batch_writes.empty(); }
  const std::vector<ConditionalWrite>& writes() const { return this->batch_writes; }
  const std::vector<Origin>& origins() const { return this->batch_origins; }

 private:
  std::vector<ConditionalWrite> batch_writes;
  std::vector<Origin> batch_origins;
  std::size_t bytes = 0;
};

}  // namespace pimentopin

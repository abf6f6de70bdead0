#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Share of a service's requests that failed or were refused within the last kWindow.
class UnservedShare {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(2);

  void Record(TimePoint now, bool served);
  // True if the share is so large that targets which are not known to work should be tried as well.
  bool IsHigh(TimePoint now) const;

 private:
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(200);
  static constexpr std::size_t kBucketCount = kWindow / kBucketDuration;

  struct Bucket {
    std::int64_t index = -1;
    std::uint32_t served = 0;
    std::uint32_t unserved = 0;
  };

  std::array<Bucket, kBucketCount> buckets{};
};

}  // namespace pimentopin

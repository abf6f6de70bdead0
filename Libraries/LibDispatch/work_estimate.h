#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// What is known of a request before it runs, from coarse to fine.
struct WorkTraits {
  WorkClass work_class = WorkClass::kShort;
  RequestKind kind{};
  WorkKey key{};

  friend bool operator==(const WorkTraits&, const WorkTraits&) = default;
};

// Distribution of the work of requests that look alike. Recent samples count most.
class WorkHistogram {
 public:
  void Add(Duration work);
  // Number of samples, at most kMemory.
  double samples() const { return this->counts[0]; }
  // Zero without samples.
  Duration Mean() const;
  // Expected work left of a request that has run for `age`.
  Duration Rest(Duration age) const;

 private:
  static constexpr std::size_t kBuckets = 36;

  static std::size_t BucketOf(double work_us);

  // Number and sum of the samples in each bucket and those above it.
  std::array<double, kBuckets> counts{};
  std::array<double, kBuckets> sums_us{};
};

// Likely work of requests, learned from the requests served. Work is the time that a target of
// average speed takes for a request that it runs at once.
class WorkEstimate {
 public:
  // Keys and kinds that are remembered; the least recently used ones are dropped.
  static constexpr std::size_t kMaxKeys = 512;
  static constexpr std::size_t kMaxKinds = 128;

  void Observe(const WorkTraits& traits, Duration work);
  // Expected work; zero if no request of the class is known.
  Duration Mean(const WorkTraits& traits) const;
  // Expected work left after `age`.
  Duration Rest(const WorkTraits& traits, Duration age) const;
  std::size_t key_count() const { return this->keys.size(); }

 private:
  class Pool {
   public:
    explicit Pool(std::size_t maximum) : capacity(maximum) {}

    WorkHistogram& FindOrAdd(std::uint64_t id);
    // Returns null if the histogram has too few samples to be used.
    const WorkHistogram* FindKnown(std::uint64_t id) const;
    std::size_t size() const { return this->entries.size(); }

   private:
    struct Entry {
      WorkHistogram histogram;
      std::list<std::uint64_t>::iterator position;
    };

    std::size_t capacity;
    // The most recently used id is the first one.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, Entry> entries;
  };

  // The finest histogram with enough samples.
  const WorkHistogram& HistogramOf(const WorkTraits& traits) const;

  Pool keys{kMaxKeys};
  Pool kinds{kMaxKinds};
  WorkHistogram short_work;
  WorkHistogram long_work;
};

}  // namespace pimentopin

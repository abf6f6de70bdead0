#include "Bench/Runner/parallel.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace pimentopin::bench {

void RunParallel(std::size_t count, std::size_t jobs, const std::function<void(std::size_t)>& run) {
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> workers;
  for (std::size_t worker = 0; worker < std::clamp<std::size_t>(jobs, 1, count); ++worker) {
    workers.emplace_back([&next, count, &run] {
      for (std::size_t index = next++; index < count; index = next++) {
        run(index);
      }
    });
  }
}

}  // namespace pimentopin::bench

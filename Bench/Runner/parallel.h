#pragma once

#include <cstddef>
#include <functional>

namespace pimentopin::bench {

// Calls run(0) to run(count - 1), up to `jobs` at a time. The calls must be
// independent of each other.
void RunParallel(std::size_t count, std::size_t jobs, const std::function<void(std::size_t)>& run);

}  // namespace pimentopin::bench

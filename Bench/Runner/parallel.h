#pragma once

#include <cstddef>
#include <functional>

namespace pimentopin::bench {

// Calls run(0) to run(count - 1) on up to `jobs` threads. The calls must not depend
// on each other.
void RunParallel(std::size_t count, std::size_t jobs, const std::function<void(std::size_t)>& run);

}  // namespace pimentopin::bench

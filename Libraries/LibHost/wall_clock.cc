#include "Libraries/LibHost/wall_clock.h"

#include <chrono>

namespace pimentopin {

std::uint64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace pimentopin

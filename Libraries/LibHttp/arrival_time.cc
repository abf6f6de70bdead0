#include "Libraries/LibHttp/arrival_time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace pimentopin {
namespace {

// Interval at which the kernel advances the clock of its TCP connections.
Duration KernelTick() {
  timespec resolution{};
  clock_getres(CLOCK_MONOTONIC_COARSE, &resolution);
  return std::chrono::ceil<Duration>(std::chrono::seconds(resolution.tv_sec) +
                                     std::chrono::nanoseconds(resolution.tv_nsec));
}

}  // namespace

TimePoint LastArrival(int descriptor, TimePoint now) {
  static const Duration tick = KernelTick();
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return now;
  }
  // Both ends of the time are rounded to ticks, so that it may be almost one too long.
  const Duration since = std::chrono::milliseconds(info.tcpi_last_data_recv) - tick;
  return now - std::max(since, Duration::zero());
}

}  // namespace pimentopin

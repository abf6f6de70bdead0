#include "Bench/Runner/slope.h"

#include <malloc.h>
#include <time.h>

#include <utility>

namespace pimentopin::bench {

Slope FitSlope(std::string name,
               std::string per,
               std::string unit,
               std::vector<SlopePoint> points) {
  const auto count = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const SlopePoint& point : points) {
    sum_x += point.x;
    sum_y += point.y;
    sum_xx += point.x * point.x;
    sum_xy += point.x * point.y;
  }
  const double denominator = count * sum_xx - sum_x * sum_x;
  const double slope = denominator == 0 ? 0 : (count * sum_xy - sum_x * sum_y) / denominator;
  const double intercept = count == 0 ? 0 : (sum_y - slope * sum_x) / count;
  return {std::move(name), std::move(per), std::move(unit), std::move(points), slope, intercept};
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double ThreadCpuMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

}  // namespace pimentopin::bench

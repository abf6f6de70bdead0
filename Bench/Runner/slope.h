#pragma once

#include <string>
#include <vector>

namespace pimentopin::bench {

struct SlopePoint {
  double x = 0;
  double y = 0;

  friend bool operator==(const SlopePoint&, const SlopePoint&) = default;
};

// Cost measured at several numbers of items or hosts, with a line fitted by least squares:
// cost = intercept + slope * x.
struct Slope {
  std::string name;
  // What the x axis counts, such as "target" or "host", and the unit of the cost.
  std::string per;
  std::string unit;
  std::vector<SlopePoint> points;
  double slope = 0;
  double intercept = 0;

  friend bool operator==(const Slope&, const Slope&) = default;
};

Slope FitSlope(std::string name, std::string per, std::string unit, std::vector<SlopePoint> points);

// Returns the heap bytes in use by this process. Other threads must not allocate
// between two calls that are compared.
double HeapBytes();

// Returns the CPU time of the calling thread.
double ThreadCpuMicroseconds();

}  // namespace pimentopin::bench

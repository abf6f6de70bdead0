#pragma once

#include <string>
#include <vector>

namespace pimentopin::bench {

struct SlopePoint {
  double x = 0;
  double y = 0;

  friend bool operator==(const SlopePoint&, const SlopePoint&) = default;
};

// A cost measured at several sizes, with the line fitted by least squares.
struct Slope {
  std::string name;
  // What is counted on the x axis, and the unit of the cost.
  std::string per;
  std::string unit;
  std::vector<SlopePoint> points;
  double slope = 0;
  double intercept = 0;

  friend bool operator==(const Slope&, const Slope&) = default;
};

Slope FitSlope(std::string name, std::string per, std::string unit, std::vector<SlopePoint> points);

// Heap bytes in use by this process. Needs a quiet process with one thread.
double HeapBytes();

// Processor time of the calling thread in microseconds.
double ThreadCpuMicroseconds();

}  // namespace pimentopin::bench

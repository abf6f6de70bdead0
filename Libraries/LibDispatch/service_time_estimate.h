#pragma once

#include <cstddef>
#include <map>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Moving average of the service time per work class, used to predict waiting
// times.
class ServiceTimeEstimate {
 public:
  // Kinds beyond this number are not told apart.
  static constexpr std::size_t kMaxKinds = 1024;

  void Observe(WorkClass work_class, RequestKind kind, Duration service_time);
  // Zero until the first sample of the class.
  Duration Mean(WorkClass work_class) const;
  // Mean of the kind, at most that of its class. Zero until the first sample of the kind; the mean
  // of the class for kind zero.
  Duration Mean(WorkClass work_class, RequestKind kind) const;
  // Time in which `slots` slots serve `ahead` requests of the class.
  Duration PredictedWait(WorkClass work_class, std::size_t ahead, std::size_t slots) const;

 private:
  struct Average {
    double mean_us = 0;
    std::size_t samples = 0;

    void Add(Duration service_time);
  };

  Average short_work;
  Average long_work;
  std::map<RequestKind, Average> kinds;
};

}  // namespace pimentopin

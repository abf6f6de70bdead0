#pragma once

#include <cstddef>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Moving average of the service time per work class, used to predict waiting
// times.
class ServiceTimeEstimate {
 public:
  void Observe(WorkClass work_class, Duration service_time);
  // Zero until the first sample of the class.
  Duration Mean(WorkClass work_class) const;
  // Time in which `slots` slots serve `ahead` requests of the class.
  Duration PredictedWait(WorkClass work_class, std::size_t ahead, std::size_t slots) const;

 private:
  struct Average {
    double mean_us = 0;
    std::size_t samples = 0;
  };

  Average short_work;
  Average long_work;
};

}  // namespace pimentopin

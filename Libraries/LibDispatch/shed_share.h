#pragma once

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Share of its last requests that a target refused as not run. Decays with time, as a target that
// is full has room again soon.
class ShedShare {
 public:
  void Record(TimePoint now, bool shed);
  double At(TimePoint now) const;

 private:
  double share = 0;
  TimePoint updated_at;
};

}  // namespace pimentopin

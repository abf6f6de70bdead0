#pragma once

#include <functional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Time at which the kernel received the last bytes of a TCP connection, or a little later. The
// present time if it does not tell.
TimePoint LastArrival(int descriptor, const std::function<TimePoint()>& clock = SteadyNow);

}  // namespace pimentopin

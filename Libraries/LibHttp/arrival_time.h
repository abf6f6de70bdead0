#pragma once

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Time at which the kernel received the last bytes of a TCP connection, or a little later. `now` if
// it does not tell.
TimePoint LastArrival(int descriptor, TimePoint now);

}  // namespace pimentopin

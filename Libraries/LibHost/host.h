#pragma once

#include <memory>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibHost/host_settings.h"
#include "Libraries/LibHost/platform_adapter.h"

namespace pimentopin {

// A host process: creates the components, runs the control loop on the calling thread, and
// shuts down gracefully on SIGTERM or SIGINT. SIGHUP is only logged, because settings are
// command-line flags and take effect at the next start.
class Host {
 public:
  // Binds the listening addresses. Returns null and sets `error` if one cannot be used.
  static std::unique_ptr<Host> Create(HostSettings settings, PlatformAdapter adapter, Error& error);
  virtual ~Host() = default;

  // Returns when the shutdown is complete.
  virtual void Run() = 0;
};

}  // namespace pimentopin

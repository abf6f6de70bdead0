#pragma once

#include <string>
#include <vector>

#include "Libraries/LibCore/exit_code.h"

namespace pimentopin {

// Runs pimentopinctl with the environment, files and standard streams of this
// process. Returns the exit code of the process, an ExitCode.
int RunOperatorProgram(const std::vector<std::string>& arguments);

}  // namespace pimentopin

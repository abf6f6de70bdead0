#pragma once

#include <string>
#include <vector>

#include "Libraries/LibCore/exit_code.h"

namespace pimentopin {

// pimentopinctl on the environment, files and standard streams of this process.
// Returns the exit code.
int RunOperatorProgram(const std::vector<std::string>& arguments);

}  // namespace pimentopin

#pragma once

#include <map>
#include <string>

namespace pimentopin {

using Labels = std::map<std::string, std::string>;

}  // namespace pimentopin

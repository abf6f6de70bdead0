#pragma once

#include <map>
#include <string>
#include <string_view>

namespace pimentopin {

// Decodes `a=1&b=x%20y`. The last value of a repeated name is used.
std::map<std::string, std::string> ParseQuery(std::string_view query);

}  // namespace pimentopin

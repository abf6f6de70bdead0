#pragma once

#include <string>
#include <vector>

namespace pimentopin::bench {

// Writes each line to the file, or to standard output if `path` is empty. Returns
// false if writing fails.
bool WriteJsonLines(const std::string& path, const std::vector<std::string>& lines);

}  // namespace pimentopin::bench

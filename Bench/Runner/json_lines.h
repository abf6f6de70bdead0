#pragma once

#include <string>
#include <vector>

namespace pimentopin::bench {

// Writes one record a line to the file, or to standard output if `path` is
// empty. Returns false if the file cannot be written.
bool WriteLines(const std::string& path, const std::vector<std::string>& lines);

}  // namespace pimentopin::bench

#include "Bench/Runner/json_lines.h"

#include <fstream>
#include <iostream>

namespace pimentopin::bench {

bool WriteJsonLines(const std::string& path, const std::vector<std::string>& lines) {
  std::ofstream file;
  if (!path.empty()) {
    file.open(path);
  }
  std::ostream& output = path.empty() ? std::cout : file;
  for (const std::string& line : lines) {
    output << line << '\n';
  }
  output.flush();
  return output.good();
}

}  // namespace pimentopin::bench

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "Libraries/LibOperator/operator_program.h"

int main(int argc, char** argv) {
  try {
    return pimentopin::RunOperatorProgram(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& exception) {
    std::cerr << "internal error: " << exception.what() << "\n";
    return static_cast<int>(pimentopin::ExitCode::kInternalError);
  }
}

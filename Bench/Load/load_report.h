#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Bench/Load/load_record.h"

namespace pimentopin {

// Prints a table with one row per stream and route.
void PrintLoadTable(const std::vector<LoadRecord>& records, std::ostream& out);

// Writes one line with a JSON object per request.
void WriteLoadRecords(const std::vector<LoadRecord>& records, std::ostream& out);

}  // namespace pimentopin

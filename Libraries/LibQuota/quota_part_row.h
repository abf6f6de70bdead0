#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/store_version.h"

namespace pimentopin {

// Row of the platform's table that tells who holds a part of the quotas.
struct QuotaPartRow {
  // Name of the host; empty if the part was released.
  std::string holder;
  // Start of the holder's process.
  std::uint64_t incarnation = 0;
  // Time of the store until which the holder may grant tokens.
  StoreTimePoint end;
  // Era of the store in which the row was written by a host that knew that no other one held the
  // part; 0 if unknown.
  StoreEra era = 0;

  friend bool operator==(const QuotaPartRow&, const QuotaPartRow&) = default;
};

std::string EncodeQuotaPartRow(const QuotaPartRow& row);
// Returns nothing and sets `error` if the value is not a valid row.
std::optional<QuotaPartRow> DecodeQuotaPartRow(std::string_view value, Error& error);

}  // namespace pimentopin

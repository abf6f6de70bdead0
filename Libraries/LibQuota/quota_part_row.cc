#include "Libraries/LibQuota/quota_part_row.h"

#include <nlohmann/json.hpp>

namespace pimentopin {

using nlohmann::json;

std::string EncodeQuotaPartRow(const QuotaPartRow& row) {
  return json{{"holder", row.holder},
              {"incarnation", row.incarnation},
              {"end_us", row.end.time_since_epoch().count()},
              {"era", row.era}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<QuotaPartRow> DecodeQuotaPartRow(std::string_view value, Error& error) {
  const json row = json::parse(value, nullptr, false);
  const bool valid = row.is_object() && row.contains("holder") && row["holder"].is_string() &&
                     row.contains("incarnation") && row["incarnation"].is_number_unsigned() &&
                     row.contains("end_us") && row["end_us"].is_number_integer();
  if (!valid) {
    error = {ErrorCode::kProtocol,
             "row of a quota part is not a JSON object with holder, incarnation and end_us"};
    return std::nullopt;
  }
  // Hosts of earlier versions do not write the field.
  const auto era = row.find("era");
  const bool has_era = era != row.end() && era->is_number_unsigned();
  return QuotaPartRow{.holder = row["holder"].get<std::string>(),
                      .incarnation = row["incarnation"].get<std::uint64_t>(),
                      .end = StoreTimePoint(Duration(row["end_us"].get<std::int64_t>())),
                      .era = has_era ? era->get<StoreEra>() : 0};
}

}  // namespace pimentopin

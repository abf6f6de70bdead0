#include "Bench/Load/load_report.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentopin {
namespace {

struct StreamSummary {
  std::size_t sent = 0;
  std::size_t complete = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t broken = 0;
  std::size_t mismatched = 0;
  std::vector<double> latencies_ms;
};

// Computed from all samples, because a run has few of them.
double Percentile(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void AddRecord(StreamSummary& summary, const LoadRecord& record) {
  ++summary.sent;
  if (!record.complete) {
    ++summary.broken;
    return;
  }
  if (record.outcome == "not-run") {
    ++summary.not_run;
  } else if (record.outcome == "unknown") {
    ++summary.unknown;
  } else if (record.status == 200) {
    ++summary.complete;
    summary.mismatched += record.body_matches ? 0 : 1;
    summary.latencies_ms.push_back(static_cast<double>(record.latency.count()) / 1e3);
  }
}

}  // namespace

void PrintLoadTable(const std::vector<LoadRecord>& records, std::ostream& out) {
  std::map<std::pair<std::string, bool>, StreamSummary> summaries;
  for (const LoadRecord& record : records) {
    AddRecord(summaries[{record.stream, record.direct}], record);
  }
  fmt::print(out, "{:<26} {:<7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>8} {:>9} {:>9}\n", "stream",
             "route", "sent", "whole", "not-run", "unknown", "broken", "foreign", "p50 ms",
             "p99 ms");
  for (auto& [key, summary] : summaries) {
    const double median = Percentile(summary.latencies_ms, 0.5);
    const double p99 = Percentile(summary.latencies_ms, 0.99);
    fmt::print(out, "{:<26} {:<7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>8} {:>9.2f} {:>9.2f}\n",
               key.first, key.second ? "direct" : "host", summary.sent, summary.complete,
               summary.not_run, summary.unknown, summary.broken, summary.mismatched, median, p99);
  }
}

void WriteLoadRecords(const std::vector<LoadRecord>& records, std::ostream& out) {
  for (const LoadRecord& record : records) {
    const nlohmann::json line = {{"request_id", record.request_id},
                                 {"idempotency_key", record.idempotency_key},
                                 {"stream", record.stream},
                                 {"service", record.service},
                                 {"direct", record.direct},
                                 {"status", record.status},
                                 {"outcome", record.outcome},
                                 {"reason", record.reason},
                                 {"connected", record.error != TransferError::kConnectFailure},
                                 {"whole", record.complete},
                                 {"own", record.body_matches},
                                 {"replayed", record.replayed},
                                 {"latency_us", record.latency.count()}};
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  }
}

}  // namespace pimentopin

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibReport/summary.h"

namespace pimentopin {

// Counts and latencies of a month over all hosts.
struct MonthlyReport {
  std::string month;
  // Numbers of host names, host processes and periods with a summary.
  std::uint64_t hosts = 0;
  std::uint64_t incarnations = 0;
  std::uint64_t periods = 0;
  // Periods without a summary between the first and the last summary of a host
  // process.
  std::uint64_t missing_periods = 0;
  // Number of objects that are not valid summaries of the month.
  std::uint64_t unreadable = 0;
  // Ordered by name.
  std::vector<ServiceSummary> services;

  friend bool operator==(const MonthlyReport&, const MonthlyReport&) = default;
};

// Adds up the summaries of a month. A summary that is added twice counts once.
class MonthlyReportBuilder {
 public:
  explicit MonthlyReportBuilder(std::string report_month);

  // Returns false if the summary was added before or is of another month.
  bool Add(const HostSummary& summary);
  // Adds a stored object. Returns false if it is not a summary of the month with
  // this key, which counts as unreadable, or if it was added before.
  bool AddObject(const std::string& key, const std::string& content);

  MonthlyReport Build() const;

 private:
  struct HostProcess {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t periods = 0;
  };

  std::string month;
  std::set<std::string> keys;
  std::map<std::pair<std::string, std::uint64_t>, HostProcess> host_processes;
  std::map<std::string, ServiceSummary> services;
  std::uint64_t unreadable = 0;
};

// Both formats include how the figures are determined and what they do not cover.
std::string ReportToText(const MonthlyReport& report);
std::string ReportToJson(const MonthlyReport& report);

}  // namespace pimentopin

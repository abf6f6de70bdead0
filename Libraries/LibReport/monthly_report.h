#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibReport/summary.h"

namespace pimentopin {

// Result of a month over all hosts.
struct MonthlyReport {
  std::string month;
  // Host names, host processes and periods that contributed.
  std::uint64_t hosts = 0;
  std::uint64_t incarnations = 0;
  std::uint64_t periods = 0;
  // Periods between the first and the last one of a host process for which no
  // summary was found.
  std::uint64_t missing_periods = 0;
  // Objects that are not summaries of the month.
  std::uint64_t unreadable = 0;
  // Ordered by name.
  std::vector<ServiceSummary> services;

  friend bool operator==(const MonthlyReport&, const MonthlyReport&) = default;
};

// Adds up the summaries of a month. A summary that is read twice counts once.
class MonthlyReportBuilder {
 public:
  explicit MonthlyReportBuilder(std::string report_month);

  // Returns false if the key was counted before or is of another month.
  bool Add(const HostSummary& summary);
  // An object as stored; it must be a summary with exactly this key.
  bool AddObject(const std::string& key, const std::string& content);

  MonthlyReport Build() const;

 private:
  struct Process {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t periods = 0;
  };

  std::string month;
  std::set<std::string> keys;
  std::map<std::pair<std::string, std::uint64_t>, Process> processes;
  std::map<std::string, ServiceSummary> services;
  std::uint64_t unreadable = 0;
};

// Both state what the figures rest on and what is not known.
std::string ReportToText(const MonthlyReport& report);
std::string ReportToJson(const MonthlyReport& report);

}  // namespace pimentopin

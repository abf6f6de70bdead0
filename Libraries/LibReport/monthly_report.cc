#include "Libraries/LibReport/monthly_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kMethodNotes{
    "doubled: non-idempotent requests of which more than one attempt may have been sent and was "
    "not shed, counted once by their host; each attempt has its own id. For requests with an "
    "idempotency key it also counts a run whose claim row names another attempt when the outcome "
    "is stored.",
    "false_ejections: ejected targets that returned to full capacity within 45 s. A target that "
    "recovered in that time counts too, so this is an upper bound.",
    "percentiles: upper edges of histogram buckets, at most 6 % above the exact value. peak is "
    "short work that arrived while requests were queued at the broker; blocking is short work that "
    "arrived while long work held slots."};

constexpr std::array<std::string_view, 4> kUncoveredCases{
    "whether a request with an unknown outcome ran",
    "repeated runs caused by a caller that resent a request without an idempotency key",
    "repeated runs inside a target or in the systems behind it",
    "the last period (at most 60 s) of a host process that ended without a graceful shutdown; "
    "missing_periods counts gaps only between the first and the last summary of a process"};

struct NamedHistogram {
  std::string_view name;
  const LatencyHistogram* histogram;
};

std::array<NamedHistogram, 5> ListHistograms(const ServiceSummary& service) {
  return {{{"detection", &service.detection_times},
           {"short", &service.short_latency},
           {"long", &service.long_latency},
           {"peak", &service.peak_latency},
           {"blocking", &service.blocking_latency}}};
}

struct NamedCount {
  std::string_view name;
  std::uint64_t value;
};

std::array<NamedCount, 11> ListCounts(const ServiceSummary& service) {
  return {{{"requests", service.requests},
           {"complete", service.complete},
           {"late", service.late},
           {"broken", service.broken},
           {"refused_not_run", service.refused_not_run},
           {"unknown", service.unknown},
           {"abandoned", service.abandoned},
           {"retried", service.retried},
           {"doubled", service.doubled},
           {"ejections", service.ejections},
           {"false_ejections", service.false_ejections}}};
}

std::string FormatMilliseconds(const std::optional<Duration>& duration) {
  return duration ? fmt::format("{:.1f}", static_cast<double>(duration->count()) / 1000.0) : "-";
}

json MillisecondsToJson(const std::optional<Duration>& duration) {
  return duration ? json(static_cast<double>(duration->count()) / 1000.0) : json();
}

std::string ServiceReportToText(const ServiceSummary& service) {
  std::string text = fmt::format("\nservice {}\n", service.service);
  for (const NamedCount& count : ListCounts(service)) {
    text += fmt::format("  {:<16}{:>14}\n", count.name, count.value);
  }
  text += fmt::format("  {:<16}{:>14}{:>12}{:>12}{:>12}{:>12}\n", "in ms", "count", "p50", "p95",
                      "p99", "max");
  for (const auto& [name, histogram] : ListHistograms(service)) {
    text += fmt::format("  {:<16}{:>14}{:>12}{:>12}{:>12}{:>12}\n", name, histogram->count(),
                        FormatMilliseconds(histogram->Percentile(0.5)),
                        FormatMilliseconds(histogram->Percentile(0.95)),
                        FormatMilliseconds(histogram->Percentile(0.99)),
                        FormatMilliseconds(histogram->Percentile(1.0)));
  }
  return text;
}

json ServiceReportToJson(const ServiceSummary& service) {
  json value{{"service", service.service}};
  for (const NamedCount& count : ListCounts(service)) {
    value[std::string(count.name)] = count.value;
  }
  for (const auto& [name, histogram] : ListHistograms(service)) {
    value[std::string(name) + "_ms"] = {{"count", histogram->count()},
                                        {"p50", MillisecondsToJson(histogram->Percentile(0.5))},
                                        {"p95", MillisecondsToJson(histogram->Percentile(0.95))},
                                        {"p99", MillisecondsToJson(histogram->Percentile(0.99))},
                                        {"max", MillisecondsToJson(histogram->Percentile(1.0))}};
  }
  return value;
}

}  // namespace

MonthlyReportBuilder::MonthlyReportBuilder(std::string report_month)
    : month(std::move(report_month)) {}

bool MonthlyReportBuilder::Add(const HostSummary& summary) {
  if (summary.Month() != this->month || !this->keys.insert(summary.Key()).second) {
    return false;
  }
  const std::uint64_t periods = summary.sequence - summary.first_sequence + 1;
  const auto [entry, is_new] = this->host_processes.try_emplace(
      {summary.host, summary.incarnation}, HostProcess{.first = summary.first_sequence});
  HostProcess& host_process = entry->second;
  host_process.first = std::min(host_process.first, summary.first_sequence);
  host_process.last = std::max(host_process.last, summary.sequence);
  host_process.periods += periods;
  for (const ServiceSummary& service : summary.services) {
    const auto [sum, inserted] = this->services.try_emplace(service.service, service);
    if (!inserted) {
      sum->second = Sum(sum->second, service);
    }
  }
  return true;
}

bool MonthlyReportBuilder::AddObject(const std::string& key, const std::string& content) {
  Error error;
  const std::optional<HostSummary> summary = SummaryFromJson(content, error);
  if (!summary || summary->Key() != key || summary->Month() != this->month) {
    ++this->unreadable;
    return false;
  }
  return this->Add(*summary);
}

MonthlyReport MonthlyReportBuilder::Build() const {
  MonthlyReport report{.month = this->month,
                       .incarnations = this->host_processes.size(),
                       .unreadable = this->unreadable};
  std::set<std::string> hosts;
  for (const auto& [host_and_incarnation, host_process] : this->host_processes) {
    hosts.insert(host_and_incarnation.first);
    report.periods += host_process.periods;
    const std::uint64_t expected = host_process.last - host_process.first + 1;
    report.missing_periods += expected - std::min(expected, host_process.periods);
  }
  report.hosts = hosts.size();
  for (const auto& [name, service] : this->services) {
    report.services.push_back(service);
  }
  return report;
}

std::string ReportToText(const MonthlyReport& report) {
  std::string text = fmt::format(
      "month {}: {} hosts, {} host processes, {} periods, {} missing periods, {} unreadable "
      "summaries\n",
      report.month, report.hosts, report.incarnations, report.periods, report.missing_periods,
      report.unreadable);
  for (const ServiceSummary& service : report.services) {
    text += ServiceReportToText(service);
  }
  text += "\nHow the figures are determined:\n";
  for (const std::string_view line : kMethodNotes) {
    text += fmt::format("- {}\n", line);
  }
  text += "Not known:\n";
  for (const std::string_view line : kUncoveredCases) {
    text += fmt::format("- {}\n", line);
  }
  return text;
}

std::string ReportToJson(const MonthlyReport& report) {
  json services = json::array();
  for (const ServiceSummary& service : report.services) {
    services.push_back(ServiceReportToJson(service));
  }
  return json{{"month", report.month},
              {"hosts", report.hosts},
              {"incarnations", report.incarnations},
              {"periods", report.periods},
              {"missing_periods", report.missing_periods},
              {"unreadable", report.unreadable},
              {"services", std::move(services)},
              {"known", kMethodNotes},
              {"not_known", kUncoveredCases}}
      .dump(2);
}

}  // namespace pimentopin

#include "Libraries/LibReport/monthly_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kKnown{
    "doubled: a host counts a non-idempotent request once if more than one of its attempts may "
    "have been sent and was not shed; each attempt has its own id. For keyed work it also counts "
    "a run whose claim row names another attempt when the outcome is stored.",
    "false_ejections: ejected targets that returned to full work within 45 s. A target that "
    "recovered in that time counts too, so this is an upper bound.",
    "percentiles: upper edges of buckets, at most 6 % above the true value. peak is short work "
    "that arrived while requests waited at the broker; blocking is short work that arrived while "
    "long work held slots."};

constexpr std::array<std::string_view, 4> kNotKnown{
    "whether a request with outcome unknown ran",
    "second runs that a caller asked for by sending a request again without an idempotency key",
    "second runs inside a target, or behind it",
    "the last period (at most 60 s) of a host process that ended without a graceful shutdown; "
    "missing_periods counts gaps only between the first and the last summary of a process"};

struct Percentiles {
  std::string_view name;
  const LatencyHistogram* histogram;
};

std::array<Percentiles, 5> HistogramsOf(const ServiceSummary& service) {
  return {{{"detection", &service.detection_times},
           {"short", &service.short_latency},
           {"long", &service.long_latency},
           {"peak", &service.peak_latency},
           {"blocking", &service.blocking_latency}}};
}

struct Count {
  std::string_view name;
  std::uint64_t value;
};

std::array<Count, 11> CountsOf(const ServiceSummary& service) {
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

std::string MillisecondsText(const std::optional<Duration>& duration) {
  return duration ? fmt::format("{:.1f}", static_cast<double>(duration->count()) / 1000.0) : "-";
}

json MillisecondsJson(const std::optional<Duration>& duration) {
  return duration ? json(static_cast<double>(duration->count()) / 1000.0) : json();
}

std::string ServiceText(const ServiceSummary& service) {
  std::string text = fmt::format("\nservice {}\n", service.service);
  for (const Count& count : CountsOf(service)) {
    text += fmt::format("  {:<16}{:>14}\n", count.name, count.value);
  }
  text += fmt::format("  {:<16}{:>14}{:>12}{:>12}{:>12}{:>12}\n", "in ms", "count", "p50", "p95",
                      "p99", "max");
  for (const auto& [name, histogram] : HistogramsOf(service)) {
    text += fmt::format("  {:<16}{:>14}{:>12}{:>12}{:>12}{:>12}\n", name, histogram->count(),
                        MillisecondsText(histogram->Percentile(0.5)),
                        MillisecondsText(histogram->Percentile(0.95)),
                        MillisecondsText(histogram->Percentile(0.99)),
                        MillisecondsText(histogram->Percentile(1.0)));
  }
  return text;
}

json ServiceJson(const ServiceSummary& service) {
  json value{{"service", service.service}};
  for (const Count& count : CountsOf(service)) {
    value[std::string(count.name)] = count.value;
  }
  for (const auto& [name, histogram] : HistogramsOf(service)) {
    value[std::string(name) + "_ms"] = {{"count", histogram->count()},
                                        {"p50", MillisecondsJson(histogram->Percentile(0.5))},
                                        {"p95", MillisecondsJson(histogram->Percentile(0.95))},
                                        {"p99", MillisecondsJson(histogram->Percentile(0.99))},
                                        {"max", MillisecondsJson(histogram->Percentile(1.0))}};
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
  const auto [entry, is_new] = this->processes.try_emplace(
      {summary.host, summary.incarnation}, Process{.first = summary.first_sequence});
  Process& process = entry->second;
  process.first = std::min(process.first, summary.first_sequence);
  process.last = std::max(process.last, summary.sequence);
  process.periods += periods;
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
  MonthlyReport report{
      .month = this->month, .incarnations = this->processes.size(), .unreadable = this->unreadable};
  std::set<std::string> hosts;
  for (const auto& [identity, process] : this->processes) {
    hosts.insert(identity.first);
    report.periods += process.periods;
    const std::uint64_t expected = process.last - process.first + 1;
    report.missing_periods += expected - std::min(expected, process.periods);
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
    text += ServiceText(service);
  }
  text += "\nHow the figures are known:\n";
  for (const std::string_view line : kKnown) {
    text += fmt::format("- {}\n", line);
  }
  text += "Not known:\n";
  for (const std::string_view line : kNotKnown) {
    text += fmt::format("- {}\n", line);
  }
  return text;
}

std::string ReportToJson(const MonthlyReport& report) {
  json services = json::array();
  for (const ServiceSummary& service : report.services) {
    services.push_back(ServiceJson(service));
  }
  return json{{"month", report.month},
              {"hosts", report.hosts},
              {"incarnations", report.incarnations},
              {"periods", report.periods},
              {"missing_periods", report.missing_periods},
              {"unreadable", report.unreadable},
              {"services", std::move(services)},
              {"known", kKnown},
              {"not_known", kNotKnown}}
      .dump(2);
}

}  // namespace pimentopin

#include "Libraries/LibReport/summary.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentopin {
namespace {

using nlohmann::json;

// Must change if the meaning of a field or the buckets of a histogram change.
constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxNameBytes = 63;
constexpr std::uint64_t kMaxCount = LatencyHistogram::kMaxBucketCount;
// End of the year 9999, so that the year of a month always has four digits.
constexpr std::uint64_t kMaxTimeMs = 253'402'300'799'999;

constexpr std::array kCountFields{std::pair{"requests", &ServiceSummary::requests},
                                  std::pair{"complete", &ServiceSummary::complete},
                                  std::pair{"late", &ServiceSummary::late},
                                  std::pair{"broken", &ServiceSummary::broken},
                                  std::pair{"refused_not_run", &ServiceSummary::refused_not_run},
                                  std::pair{"unknown", &ServiceSummary::unknown},
                                  std::pair{"abandoned", &ServiceSummary::abandoned},
                                  std::pair{"retried", &ServiceSummary::retried},
                                  std::pair{"doubled", &ServiceSummary::doubled},
                                  std::pair{"ejections", &ServiceSummary::ejections},
                                  std::pair{"false_ejections", &ServiceSummary::false_ejections}};

constexpr std::array kHistogramFields{
    std::pair{"detection_times", &ServiceSummary::detection_times},
    std::pair{"short_latency", &ServiceSummary::short_latency},
    std::pair{"long_latency", &ServiceSummary::long_latency},
    std::pair{"peak_latency", &ServiceSummary::peak_latency},
    std::pair{"blocking_latency", &ServiceSummary::blocking_latency}};

json HistogramToJson(const LatencyHistogram& histogram) {
  json counts = json::array();
  for (const auto& [bucket, count] : histogram.BucketCounts()) {
    counts.push_back({bucket, count});
  }
  return counts;
}

std::optional<std::uint64_t> UnsignedFromJson(const json& value, std::uint64_t maximum) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum) {
    return std::nullopt;
  }
  return value.get<std::uint64_t>();
}

std::optional<LatencyHistogram> HistogramFromJson(const json& value) {
  std::map<std::size_t, std::uint64_t> counts;
  if (!value.is_array()) {
    return std::nullopt;
  }
  for (const json& bucket_entry : value) {
    if (!bucket_entry.is_array() || bucket_entry.size() != 2) {
      return std::nullopt;
    }
    const auto bucket = UnsignedFromJson(bucket_entry[0], LatencyHistogram::kBucketCount - 1);
    const auto count = UnsignedFromJson(bucket_entry[1], kMaxCount);
    if (!bucket || !count || !counts.emplace(*bucket, *count).second) {
      return std::nullopt;
    }
  }
  return LatencyHistogram::FromBucketCounts(counts);
}

bool IsValidName(const json& value) {
  if (!value.is_string()) {
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char byte) {
           return (byte >= 'a' && byte <= 'z') || (byte >= '0' && byte <= '9') || byte == '-';
         });
}

json ServiceToJson(const ServiceSummary& summary) {
  json value{{"service", summary.service}};
  for (const auto& [name, member] : kCountFields) {
    value[name] = summary.*member;
  }
  for (const auto& [name, member] : kHistogramFields) {
    value[name] = HistogramToJson(summary.*member);
  }
  return value;
}

std::optional<ServiceSummary> ServiceFromJson(const json& value, std::string& reason) {
  if (!value.is_object() || !IsValidName(value.value("service", json()))) {
    reason = "a service has no valid name";
    return std::nullopt;
  }
  ServiceSummary summary{.service = value["service"]};
  for (const auto& [name, member] : kCountFields) {
    const auto count = UnsignedFromJson(value.value(name, json()), kMaxCount);
    if (!count) {
      reason = std::string(name) + " is not a valid count";
      return std::nullopt;
    }
    summary.*member = *count;
  }
  for (const auto& [name, member] : kHistogramFields) {
    auto histogram = HistogramFromJson(value.value(name, json()));
    if (!histogram) {
      reason = std::string(name) + " is not a valid histogram";
      return std::nullopt;
    }
    summary.*member = std::move(*histogram);
  }
  return summary;
}

bool ParseHeader(const json& value, HostSummary& summary, std::string& reason) {
  if (!value.is_object() || value.value("format", json()) != kFormatVersion) {
    reason = "not a summary of format version " + std::to_string(kFormatVersion);
    return false;
  }
  const auto incarnation = UnsignedFromJson(value.value("incarnation", json()), UINT64_MAX);
  const auto first = UnsignedFromJson(value.value("first_sequence", json()), kMaxCount);
  const auto last = UnsignedFromJson(value.value("sequence", json()), kMaxCount);
  const auto started = UnsignedFromJson(value.value("started_at_ms", json()), kMaxTimeMs);
  const auto ended = UnsignedFromJson(value.value("ended_at_ms", json()), kMaxTimeMs);
  if (!IsValidName(value.value("host", json())) || !incarnation || !first || !last ||
      *first > *last || !started || !ended) {
    reason = "host, incarnation, sequence numbers or times are invalid";
    return false;
  }
  summary.host = value["host"];
  summary.incarnation = *incarnation;
  summary.first_sequence = *first;
  summary.sequence = *last;
  summary.started_at_ms = *started;
  summary.ended_at_ms = *ended;
  return true;
}

bool ParseServices(const json& value, HostSummary& summary, std::string& reason) {
  const json services = value.value("services", json());
  if (!services.is_array()) {
    reason = "services is not an array";
    return false;
  }
  for (const json& entry : services) {
    auto service = ServiceFromJson(entry, reason);
    if (!service) {
      return false;
    }
    if (!summary.services.empty() && summary.services.back().service >= service->service) {
      reason = "services are not ordered by name";
      return false;
    }
    summary.services.push_back(std::move(*service));
  }
  return true;
}

}  // namespace

ServiceSummary Sum(const ServiceSummary& first, const ServiceSummary& second) {
  ServiceSummary sum = first;
  for (const auto& [name, member] : kCountFields) {
    sum.*member += second.*member;
  }
  for (const auto& [name, member] : kHistogramFields) {
    (sum.*member).Add(second.*member);
  }
  return sum;
}

std::string HostSummary::Month() const {
  const std::chrono::sys_time<std::chrono::milliseconds> start{
      std::chrono::milliseconds(this->started_at_ms)};
  const std::chrono::year_month_day date{std::chrono::floor<std::chrono::days>(start)};
  const std::string year = std::to_string(static_cast<int>(date.year()));
  const std::string month = std::to_string(static_cast<unsigned>(date.month()));
  return year + (month.size() == 1 ? "-0" : "-") + month;
}

std::string HostSummary::Key() const {
  return SummaryPrefix(this->Month()) + this->host + "-" + std::to_string(this->incarnation) + "/" +
         std::to_string(this->sequence);
}

HostSummary MergeSummaries(const HostSummary& earlier, const HostSummary& later) {
  HostSummary merged = earlier;
  merged.sequence = later.sequence;
  merged.ended_at_ms = later.ended_at_ms;
  for (const ServiceSummary& service : later.services) {
    const auto position = std::lower_bound(
        merged.services.begin(), merged.services.end(), service.service,
        [](const ServiceSummary& entry, const std::string& name) { return entry.service < name; });
    if (position != merged.services.end() && position->service == service.service) {
      *position = Sum(*position, service);
    } else {
      merged.services.insert(position, service);
    }
  }
  return merged;
}

std::string SummaryToJson(const HostSummary& summary) {
  json services = json::array();
  for (const ServiceSummary& service : summary.services) {
    services.push_back(ServiceToJson(service));
  }
  return json{{"format", kFormatVersion},           {"host", summary.host},
              {"incarnation", summary.incarnation}, {"first_sequence", summary.first_sequence},
              {"sequence", summary.sequence},       {"started_at_ms", summary.started_at_ms},
              {"ended_at_ms", summary.ended_at_ms}, {"services", std::move(services)}}
      .dump();
}

std::optional<HostSummary> SummaryFromJson(std::string_view text, Error& error) {
  const json value = json::parse(text, nullptr, false);
  HostSummary summary;
  std::string reason;
  if (!ParseHeader(value, summary, reason) || !ParseServices(value, summary, reason)) {
    error = {ErrorCode::kProtocol, reason};
    return std::nullopt;
  }
  return summary;
}

std::string SummaryPrefix(std::string_view month) {
  return "summary/" + std::string(month) + "/";
}

bool IsMonth(std::string_view text) {
  const auto is_digit = [&](std::size_t position) {
    return text[position] >= '0' && text[position] <= '9';
  };
  if (text.size() != 7 || text[4] != '-' || !is_digit(0) || !is_digit(1) || !is_digit(2) ||
      !is_digit(3) || !is_digit(5) || !is_digit(6)) {
    return false;
  }
  const int month = (text[5] - '0') * 10 + (text[6] - '0');
  return month >= 1 && month <= 12;
}

}  // namespace pimentopin

#include "Libraries/LibHost/http_dialect.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

namespace pimentopin {
namespace {

// Keeps the conversion to Duration in range.
constexpr double kMaxRetryAfterSeconds = 1e9;

bool IsExcludedHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kExcluded = {
      "connection", "keep-alive",     "transfer-encoding", "te",     "trailer",
      "upgrade",    "content-length", "proxy-connection",  "expect", "host"};
  constexpr std::string_view kPrefix = "pimentopin-";
  return std::any_of(kExcluded.begin(), kExcluded.end(),
                     [&](std::string_view excluded) { return EqualHeaderNames(excluded, name); }) ||
         EqualHeaderNames(name.substr(0, kPrefix.size()), kPrefix);
}

}  // namespace

std::string_view NamedRequestName(NamedRequest named) {
  switch (named) {
    case NamedRequest::kNone:
      return "none";
    case NamedRequest::kThis:
      return "this";
    case NamedRequest::kOther:
      return "other";
  }
  return "unknown";
}

NamedRequest CompareEchoedId(std::string_view named, std::string_view own) {
  if (named.empty()) {
    return NamedRequest::kNone;
  }
  return named == own ? NamedRequest::kThis : NamedRequest::kOther;
}

Duration ParseRetryAfter(const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "Retry-After");
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  if (!is_number || !(seconds > 0)) {
    return Duration::zero();
  }
  return FromSeconds(std::min(seconds, kMaxRetryAfterSeconds));
}

double ParseRequestRate(std::string_view text) {
  double rate = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), rate);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  return is_number && std::isfinite(rate) && rate > 0 ? rate : 0;
}

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  HttpHeaders forwardable;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwardable),
               [](const HttpHeader& header) { return !IsExcludedHeader(header.name); });
  return forwardable;
}

}  // namespace pimentopin

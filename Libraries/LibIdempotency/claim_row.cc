#include "Libraries/LibIdempotency/claim_row.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr const char* kClaimed = "claimed";
constexpr const char* kReleased = "released";
constexpr const char* kDone = "done";

// JSON strings are UTF-8, but bodies and header values may hold any bytes. Each byte is
// stored as the code point with the same number.
std::string ToUtf8(const std::string& bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < 0x80) {
      text.push_back(byte);
    } else {
      text.push_back(static_cast<char>(0xc0 | (value >> 6)));
      text.push_back(static_cast<char>(0x80 | (value & 0x3f)));
    }
  }
  return text;
}

std::string FromUtf8(const std::string& text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    const auto value = static_cast<unsigned char>(text[index]);
    if (value >= 0x80 && index + 1 < text.size()) {
      ++index;
      const auto low = static_cast<unsigned char>(text[index]);
      bytes.push_back(static_cast<char>((value << 6) | (low & 0x3f)));
    } else {
      bytes.push_back(static_cast<char>(value));
    }
  }
  return bytes;
}

StoredResponse ReadStoredResponse(const json& value, Findings& findings) {
  StoredResponse response;
  const json& status = value.at("status");
  // A conversion would round, and truncate numbers that do not fit.
  if (status.is_number_unsigned() && status >= 200U && status <= 599U) {
    response.status = status.get<int>();
  } else {
    findings.Add("/outcome/status", "must be a whole number from 200 to 599");
  }
  for (const json& header : value.at("headers")) {
    response.headers.push_back(
        {FromUtf8(header.at(0).get<std::string>()), FromUtf8(header.at(1).get<std::string>())});
  }
  if (value.contains("body")) {
    response.body = FromUtf8(value.at("body").get<std::string>());
  }
  return response;
}

}  // namespace

std::string FormatClaimRow(const ClaimRow& row) {
  json value;
  value["attempt"] = RawId(row.attempt);
  value["fingerprint"] = RawId(row.fingerprint);
  switch (row.state) {
    case ClaimState::kClaimed:
      value["state"] = kClaimed;
      break;
    case ClaimState::kReleased:
      value["state"] = kReleased;
      break;
    case ClaimState::kDone:
      value["state"] = kDone;
      break;
  }
  if (row.response) {
    json headers = json::array();
    for (const HttpHeader& header : row.response->headers) {
      headers.push_back(json::array({ToUtf8(header.name), ToUtf8(header.value)}));
    }
    value["outcome"] = {{"status", row.response->status}, {"headers", std::move(headers)}};
    if (row.response->body) {
      value["outcome"]["body"] = ToUtf8(*row.response->body);
    }
  }
  return value.dump();
}

std::optional<ClaimRow> ParseClaimRow(const std::string& text) {
  Findings findings;
  return ParseClaimRow(text, findings);
}

std::optional<ClaimRow> ParseClaimRow(const std::string& text, Findings& findings) {
  try {
    const json value = json::parse(text);
    ClaimRow row;
    row.attempt = AttemptId{value.at("attempt").get<std::uint64_t>()};
    row.fingerprint = Fingerprint{value.at("fingerprint").get<std::uint64_t>()};
    const auto state = value.at("state").get<std::string>();
    if (state == kDone) {
      row.state = ClaimState::kDone;
      row.response = ReadStoredResponse(value.at("outcome"), findings);
    } else if (state == kReleased) {
      row.state = ClaimState::kReleased;
    } else if (state != kClaimed) {
      findings.Add("/state", "must be claimed, released or done");
    }
    return findings.empty() ? std::optional(std::move(row)) : std::nullopt;
  } catch (const json::exception&) {
    findings.Add("", "must be a JSON object with the fields of a claim");
    return std::nullopt;
  }
}

}  // namespace pimentopin

#include "Libraries/LibIdempotency/claim_row.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>
#include <utility>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::pair<ClaimRowState, const char*> kStateNames[] = {
    {ClaimRowState::kClaimed, "claimed"},
    {ClaimRowState::kReleased, "released"},
    {ClaimRowState::kDone, "done"},
};

std::string Dump(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

json EncodeBytes(const std::string& bytes) {
  json text = bytes;
  // The dump replaces invalid UTF-8, so that only valid text is unchanged by it.
  if (json::parse(Dump(text), nullptr, false) == text) {
    return text;
  }
  return json{{"base64", restinio::utils::base64::encode(bytes)}};
}

std::optional<std::string> DecodeBytes(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (!value.is_object() || !value.contains("base64") || !value["base64"].is_string()) {
    return std::nullopt;
  }
  auto bytes = restinio::utils::base64::try_decode(value["base64"].get<std::string>());
  return bytes ? std::optional<std::string>(std::move(*bytes)) : std::nullopt;
}

// Ids are text because many JSON tools round integers above 2^53.
std::string EncodeId(std::uint64_t id) {
  return std::to_string(id);
}

std::optional<std::uint64_t> DecodeId(const json& row, const char* field) {
  const auto found = row.find(field);
  if (found == row.end() || !found->is_string()) {
    return std::nullopt;
  }
  const auto text = found->get<std::string>();
  std::uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, id);
  if (failure != std::errc() || stop != end) {
    return std::nullopt;
  }
  return id;
}

json EncodeOutcome(const StoredOutcome& outcome) {
  json headers = json::array();
  for (const HttpHeader& header : outcome.headers) {
    headers.push_back(json::array({EncodeBytes(header.name), EncodeBytes(header.value)}));
  }
  json value{{"status", outcome.status}, {"headers", std::move(headers)}};
  if (outcome.body) {
    value["body"] = EncodeBytes(*outcome.body);
  }
  return value;
}

std::optional<HttpHeader> DecodeHeader(const json& value) {
  if (!value.is_array() || value.size() != 2) {
    return std::nullopt;
  }
  auto name = DecodeBytes(value[0]);
  auto text = DecodeBytes(value[1]);
  if (!name || !text) {
    return std::nullopt;
  }
  return HttpHeader{std::move(*name), std::move(*text)};
}

std::optional<StoredOutcome> DecodeOutcome(const json& row) {
  const json value = row.value("outcome", json());
  if (!value.is_object() || !value.value("status", json()).is_number_integer() ||
      !value.value("headers", json()).is_array()) {
    return std::nullopt;
  }
  StoredOutcome outcome{.status = value["status"].get<int>()};
  for (const json& header : value["headers"]) {
    auto decoded = DecodeHeader(header);
    if (!decoded) {
      return std::nullopt;
    }
    outcome.headers.push_back(std::move(*decoded));
  }
  if (value.contains("body")) {
    outcome.body = DecodeBytes(value["body"]);
    if (!outcome.body) {
      return std::nullopt;
    }
  }
  return outcome;
}

std::optional<ClaimRowState> DecodeState(const json& row) {
  const json value = row.value("state", json());
  for (const auto& [state, name] : kStateNames) {
    if (value == name) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeClaimRow(const ClaimRow& row) {
  json value{{"attempt", EncodeId(RawId(row.attempt))},
             {"fingerprint", EncodeId(RawId(row.fingerprint))}};
  for (const auto& [state, name] : kStateNames) {
    if (state == row.state) {
      value["state"] = name;
    }
  }
  if (row.outcome) {
    value["outcome"] = EncodeOutcome(*row.outcome);
  }
  return Dump(value);
}

std::optional<ClaimRow> DecodeClaimRow(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto state = DecodeState(value);
  const auto attempt = DecodeId(value, "attempt");
  const auto fingerprint = DecodeId(value, "fingerprint");
  if (!state || !attempt || !fingerprint) {
    return std::nullopt;
  }
  ClaimRow row{
      .state = *state, .attempt = AttemptId{*attempt}, .fingerprint = Fingerprint{*fingerprint}};
  if (row.state == ClaimRowState::kDone) {
    row.outcome = DecodeOutcome(value);
    if (!row.outcome) {
      return std::nullopt;
    }
  }
  return row;
}

}  // namespace pimentopin

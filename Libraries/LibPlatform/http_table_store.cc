#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibPlatform/http_platform.h"
#include "Libraries/LibPlatform/platform_call.h"

namespace pimentopin {
namespace {

using nlohmann::json;

std::optional<TableRow> ParseRow(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.value("version", json()).is_number_unsigned() ||
      !body.value("value", json()).is_string()) {
    return std::nullopt;
  }
  return TableRow{body["version"].get<std::uint64_t>(), body["value"].get<std::string>()};
}

std::optional<std::vector<WriteResult>> ParseResults(const std::string& text, std::size_t count) {
  const json body = json::parse(text, nullptr, false);
  const json list = body.is_object() ? body.value("results", json()) : json();
  if (!list.is_array() || list.size() != count) {
    return std::nullopt;
  }
  std::vector<WriteResult> results;
  for (const json& entry : list) {
    if (!entry.is_object() || !entry.value("applied", json()).is_boolean() ||
        !entry.value("version", json()).is_number_unsigned()) {
      return std::nullopt;
    }
    results.push_back({entry["applied"].get<bool>(), entry["version"].get<std::uint64_t>()});
  }
  return results;
}

class HttpTableStore : public TableStore {
 public:
  HttpTableStore(HttpClient& client, HttpPlatformSettings settings)
      : client(client), settings(std::move(settings)) {}

  void Read(const std::string& key, ReadCallback callback) override {
    HttpClientRequest request{.method = "GET",
                              .url = this->settings.base_url + "/table/" + EscapeKey(key)};
    CallPlatform(
        this->client, this->settings, std::move(request),
        [callback = std::move(callback)](const PlatformAnswer& answer) {
          if (answer.status == 404) {
            callback(TableRow{}, Error{});
            return;
          }
          if (answer.status != 200) {
            callback(std::nullopt, {ErrorCode::kUnreachable, UnexpectedStatus(answer).message});
            return;
          }
          const auto row = ParseRow(answer.body);
          callback(row,
                   row ? Error{} : Error{ErrorCode::kProtocol, "platform: malformed table row"});
        });
  }

  void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) override {
    json list = json::array();
    for (const ConditionalWrite& write : writes) {
      list.push_back({{"key", write.key},
                      {"expected_version", write.expected_version},
                      {"value", write.value}});
    }
    HttpClientRequest request{.method = "POST",
                              .url = this->settings.base_url + "/table",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = json{{"writes", std::move(list)}}.dump(
                                  -1, ' ', false, json::error_handler_t::replace)};
    CallPlatform(
        this->client, this->settings, std::move(request),
        [count = writes.size(), callback = std::move(callback)](const PlatformAnswer& answer) {
          if (answer.status != 200) {
            callback(std::nullopt, UnexpectedStatus(answer));
            return;
          }
          const auto results = ParseResults(answer.body, count);
          // The writes may have been applied although the answer is of no use.
          callback(results, results ? Error{}
                                    : Error{ErrorCode::kUnknownOutcome,
                                            "platform: malformed write results"});
        });
  }

 private:
  HttpClient& client;
  const HttpPlatformSettings settings;
};

}  // namespace

std::unique_ptr<TableStore> CreateHttpTableStore(HttpClient& client,
                                                 HttpPlatformSettings settings) {
  return std::make_unique<HttpTableStore>(client, std::move(settings));
}

}  // namespace pimentopin

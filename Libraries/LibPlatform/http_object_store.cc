#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibPlatform/http_platform.h"
#include "Libraries/LibPlatform/platform_call.h"

namespace pimentopin {
namespace {

using nlohmann::json;

class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client, HttpPlatformSettings settings)
      : client(client), settings(std::move(settings)) {}

  void Get(const std::string& key, GetCallback callback) override {
    HttpClientRequest request{.method = "GET", .url = this->UrlOf(key)};
    CallPlatform(
        this->client, this->settings, std::move(request),
        [callback = std::move(callback)](const PlatformAnswer& answer) {
          if (answer.status == 404) {
            callback(std::nullopt, {ErrorCode::kNotFound, "no such object"});
          } else if (answer.status != 200 || answer.error.code != ErrorCode::kNone) {
            callback(std::nullopt, {ErrorCode::kUnreachable, UnexpectedStatus(answer).message});
          } else {
            callback(answer.body, Error{});
          }
        });
  }

  void PutIfAbsent(const std::string& key, std::string content, PutCallback callback) override {
    HttpClientRequest request{.method = "PUT",
                              .url = this->UrlOf(key),
                              .headers = {{"If-None-Match", "*"}},
                              .body = std::move(content)};
    CallPlatform(this->client, this->settings, std::move(request),
                 [callback = std::move(callback)](const PlatformAnswer& answer) {
                   // 412: the object exists already.
                   const bool stored =
                       answer.status == 200 || answer.status == 201 || answer.status == 412;
                   callback(stored, stored ? Error{} : UnexpectedStatus(answer));
                 });
  }

  void List(const std::string& prefix, ListCallback callback) override {
    HttpClientRequest request{
        .method = "GET", .url = this->settings.base_url + "/objects?prefix=" + EscapeKey(prefix)};
    CallPlatform(
        this->client, this->settings, std::move(request),
        [callback = std::move(callback)](const PlatformAnswer& answer) {
          if (answer.status != 200) {
            callback(std::nullopt, {ErrorCode::kUnreachable, UnexpectedStatus(answer).message});
            return;
          }
          const json body = json::parse(answer.body, nullptr, false);
          const json keys = body.is_object() ? body.value("keys", json()) : json();
          if (!keys.is_array()) {
            callback(std::nullopt, {ErrorCode::kProtocol, "platform: malformed list"});
            return;
          }
          std::vector<std::string> result;
          for (const json& key : keys) {
            if (key.is_string()) {
              result.push_back(key.get<std::string>());
            }
          }
          callback(std::move(result), Error{});
        });
  }

 private:
  std::string UrlOf(const std::string& key) const {
    return this->settings.base_url + "/objects/" + EscapeKey(key);
  }

  HttpClient& client;
  const HttpPlatformSettings settings;
};

}  // namespace

std::unique_ptr<ObjectStore> CreateHttpObjectStore(HttpClient& client,
                                                   HttpPlatformSettings settings) {
  return std::make_unique<HttpObjectStore>(client, std::move(settings));
}

}  // namespace pimentopin

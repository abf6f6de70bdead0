#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibPlatform/http_platform.h"
#include "Libraries/LibPlatform/platform_call.h"

namespace pimentopin {
namespace {

using nlohmann::json;

std::string TextOf(const json& object, const char* field) {
  const json value = object.value(field, json());
  return value.is_string() ? value.get<std::string>() : std::string();
}

std::optional<std::vector<ListedHost>> ParseList(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_array()) {
    return std::nullopt;
  }
  std::vector<ListedHost> listed;
  for (const json& entry : body) {
    if (!entry.is_object() || TextOf(entry, "name").empty()) {
      return std::nullopt;
    }
    listed.push_back(
        {.name = TextOf(entry, "name"),
         .address = TextOf(entry, "address"),
         .state = TextOf(entry, "state") == "leaving" ? ListedState::kLeaving : ListedState::kLive,
         .kind = TextOf(entry, "kind") == "target" ? ListedKind::kTarget : ListedKind::kHost});
  }
  return listed;
}

class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client, HttpPlatformSettings settings)
      : client(client), settings(std::move(settings)) {}

  void List(ListCallback callback) override {
    HttpClientRequest request{.method = "GET", .url = this->settings.base_url + "/hosts"};
    CallPlatform(
        this->client, this->settings, std::move(request),
        [callback = std::move(callback)](const PlatformAnswer& answer) {
          if (answer.status != 200) {
            callback(std::nullopt, {ErrorCode::kUnreachable, UnexpectedStatus(answer).message});
            return;
          }
          auto listed = ParseList(answer.body);
          const Error error =
              listed ? Error{} : Error{ErrorCode::kProtocol, "platform: malformed host list"};
          callback(std::move(listed), error);
        });
  }

  void Register(const ListedHost& host, RegisterCallback callback) override {
    const json body = {{"name", host.name},
                       {"address", host.address},
                       {"state", host.state == ListedState::kLeaving ? "leaving" : "live"},
                       {"kind", host.kind == ListedKind::kTarget ? "target" : "host"}};
    HttpClientRequest request{.method = "PUT",
                              .url = this->settings.base_url + "/hosts/" + EscapeKey(host.name),
                              .headers = {{"Content-Type", "application/json"}},
                              .body = body.dump()};
    CallPlatform(this->client, this->settings, std::move(request),
                 [callback = std::move(callback)](const PlatformAnswer& answer) {
                   const bool registered = answer.status == 200;
                   callback(registered, registered ? Error{} : UnexpectedStatus(answer));
                 });
  }

 private:
  HttpClient& client;
  const HttpPlatformSettings settings;
};

}  // namespace

std::unique_ptr<HostList> CreateHttpHostList(HttpClient& client, HttpPlatformSettings settings) {
  return std::make_unique<HttpHostList>(client, std::move(settings));
}

}  // namespace pimentopin

#include "Libraries/LibPlatform/http_platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibPlatform/platform_encoding.h"

namespace pimentopin {
namespace {

using nlohmann::json;

// What became of one call.
struct Reply {
  TransferEnd end;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool whole() const { return this->end.error == TransferError::kNone; }
};

std::string_view ErrorName(TransferError error) {
  switch (error) {
    case TransferError::kNone:
      return "no error";
    case TransferError::kConnectFailure:
      return "connect failure";
    case TransferError::kConnectionLost:
      return "connection lost";
    case TransferError::kTruncated:
      return "truncated answer";
    case TransferError::kTimeout:
      return "time-out";
    case TransferError::kMalformed:
      return "malformed answer";
    case TransferError::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

std::string Describe(const Reply& reply) {
  if (!reply.whole()) {
    return "platform: " + std::string(ErrorName(reply.end.error));
  }
  return "platform answered with status " + std::to_string(reply.status);
}

// Reason why a read gave nothing.
Error ReadError(const Reply& reply) {
  if (reply.whole() && reply.status == 404) {
    return {ErrorCode::kNotFound, Describe(reply)};
  }
  return {ErrorCode::kUnreachable, Describe(reply)};
}

// Reason why a write is not known to have taken effect. Anything that does not prove the contrary
// counts as a write that may have taken effect.
Error WriteError(const Reply& reply) {
  if (!reply.whole()) {
    return {reply.end.may_have_been_sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnreachable,
            Describe(reply)};
  }
  if (FindHeader(reply.headers, kPlatformOutcomeHeader) == kNotApplied) {
    return {ErrorCode::kUnreachable, Describe(reply)};
  }
  if (reply.status == 413) {
    return {ErrorCode::kTooLarge, Describe(reply)};
  }
  if (reply.status >= 400 && reply.status < 500) {
    return {ErrorCode::kInvalidArgument, Describe(reply)};
  }
  return {ErrorCode::kUnknownOutcome, Describe(reply)};
}

// Makes calls and delivers the replies on the control thread.
class PlatformCaller {
 public:
  PlatformCaller(HttpClient& client, HttpPlatformSettings settings)
      : client(client), settings(std::move(settings)) {}

  void Post(std::function<void()> function) { this->settings.post(std::move(function)); }

  void Call(const std::string& method,
            const std::string& target,
            HttpHeaders headers,
            std::string body,
            std::function<void(const Reply&)> callback) {
    auto reply = std::make_shared<Reply>();
    TransferHooks hooks;
    hooks.on_headers = [reply](int status, const HttpHeaders& fields) {
      reply->status = status;
      reply->headers = fields;
    };
    hooks.on_body = [reply](const std::string& bytes) { reply->body += bytes; };
    hooks.on_end = [reply, post = this->settings.post,
                    callback = std::move(callback)](const TransferEnd& end) {
      reply->end = end;
      post([reply, callback] { callback(*reply); });
    };
    this->client.Start({.method = method,
                        .url = this->settings.base_url + target,
                        .headers = std::move(headers),
                        .body = std::move(body),
                        .timeout = this->settings.timeout},
                       std::move(hooks));
  }

 private:
  HttpClient& client;
  const HttpPlatformSettings settings;
};

HttpHeaders JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

std::optional<TableRow> ParseRow(const std::string& text) {
  try {
    const json document = json::parse(text);
    const auto value = DecodeTableValue(document.at("value").get<std::string>());
    if (!value) {
      return std::nullopt;
    }
    return TableRow{.version = document.at("version").get<std::uint64_t>(), .value = *value};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<std::vector<WriteResult>> ParseResults(const std::string& text, std::size_t count) {
  try {
    std::vector<WriteResult> results;
    for (const json& entry : json::parse(text)) {
      results.push_back({.applied = entry.at("applied").get<bool>(),
                         .version = entry.at("version").get<std::uint64_t>()});
    }
    return results.size() == count ? std::optional(results) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

class HttpTableStore : public TableStore {
 public:
  HttpTableStore(HttpClient& client, HttpPlatformSettings settings)
      : caller(client, std::move(settings)) {}

  void Read(const std::string& key, ReadCallback callback) override {
    this->caller.Call(
        "GET", "/table/" + EncodeUrlPart(key), {}, {},
        [callback = std::move(callback)](const Reply& reply) {
          if (reply.whole() && reply.status == 404) {
            callback(TableRow{}, {});
            return;
          }
          if (!reply.whole() || reply.status != 200) {
            callback(std::nullopt, ReadError(reply));
            return;
          }
          const std::optional<TableRow> row = ParseRow(reply.body);
          callback(row, row ? Error{} : Error{ErrorCode::kProtocol, "platform: unreadable row"});
        });
  }

  void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) override {
    json list = json::array();
    for (const ConditionalWrite& write : writes) {
      list.push_back({{"key", write.key},
                      {"expected_version", write.expected_version},
                      {"value", EncodeTableValue(write.value)}});
    }
    std::string body;
    try {
      body = json{{"writes", std::move(list)}}.dump();
    } catch (const json::exception& exception) {
      // A key is not valid UTF-8.
      this->caller.Post([callback = std::move(callback), message = std::string(exception.what())] {
        callback(std::nullopt, {ErrorCode::kInvalidArgument, message});
      });
      return;
    }
    this->caller.Call("POST", "/table", JsonHeaders(), std::move(body),
                      [callback = std::move(callback), count = writes.size()](const Reply& reply) {
                        if (!reply.whole() || reply.status != 200) {
                          callback(std::nullopt, WriteError(reply));
                          return;
                        }
                        const auto results = ParseResults(reply.body, count);
                        callback(results, results
                                              ? Error{}
                                              : Error{ErrorCode::kUnknownOutcome,
                                                      "platform: unreadable answer to a write"});
                      });
  }

 private:
  PlatformCaller caller;
};

class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client, HttpPlatformSettings settings)
      : caller(client, std::move(settings)) {}

  void Get(const std::string& key, GetCallback callback) override {
    this->caller.Call("GET", "/objects/" + EncodeUrlPart(key), {}, {},
                      [callback = std::move(callback)](const Reply& reply) {
                        if (reply.whole() && reply.status == 200) {
                          callback(reply.body, {});
                        } else {
                          callback(std::nullopt, ReadError(reply));
                        }
                      });
  }

  void PutIfAbsent(const std::string& key, std::string content, PutCallback callback) override {
    this->caller.Call("PUT", "/objects/" + EncodeUrlPart(key), {{"If-None-Match", "*"}},
                      std::move(content), [callback = std::move(callback)](const Reply& reply) {
                        const bool stored =
                            reply.whole() &&
                            (reply.status == 200 || reply.status == 201 || reply.status == 412);
                        callback(stored, stored ? Error{} : WriteError(reply));
                      });
  }

  void List(const std::string& prefix, ListCallback callback) override {
    this->caller.Call("GET", "/objects?prefix=" + EncodeUrlPart(prefix), {}, {},
                      [callback = std::move(callback)](const Reply& reply) {
                        if (!reply.whole() || reply.status != 200) {
                          callback(std::nullopt, ReadError(reply));
                          return;
                        }
                        try {
                          callback(json::parse(reply.body).get<std::vector<std::string>>(), {});
                        } catch (const json::exception& exception) {
                          callback(std::nullopt, {ErrorCode::kProtocol, exception.what()});
                        }
                      });
  }

 private:
  PlatformCaller caller;
};

std::optional<std::vector<ListedHost>> ParseHosts(const std::string& text) {
  try {
    std::vector<ListedHost> hosts;
    for (const json& entry : json::parse(text)) {
      const auto state = entry.at("state").get<std::string>();
      const auto kind = entry.at("kind").get<std::string>();
      hosts.push_back({.name = entry.at("name").get<std::string>(),
                       .address = entry.at("address").get<std::string>(),
                       .state = state == "leaving" ? ListedState::kLeaving : ListedState::kLive,
                       .kind = kind == "target" ? ListedKind::kTarget : ListedKind::kHost});
    }
    return hosts;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client, HttpPlatformSettings settings)
      : caller(client, std::move(settings)) {}

  void List(ListCallback callback) override {
    this->caller.Call(
        "GET", "/hosts", {}, {}, [callback = std::move(callback)](const Reply& reply) {
          if (!reply.whole() || reply.status != 200) {
            callback(std::nullopt, ReadError(reply));
            return;
          }
          const auto hosts = ParseHosts(reply.body);
          callback(hosts,
                   hosts ? Error{} : Error{ErrorCode::kProtocol, "platform: unreadable host list"});
        });
  }

  void Register(const ListedHost& host, RegisterCallback callback) override {
    const json document = {{"address", host.address},
                           {"state", host.state == ListedState::kLeaving ? "leaving" : "live"},
                           {"kind", host.kind == ListedKind::kTarget ? "target" : "host"}};
    this->caller.Call("PUT", "/hosts/" + EncodeUrlPart(host.name), JsonHeaders(),
                      document.dump(-1, ' ', false, json::error_handler_t::replace),
                      [callback = std::move(callback)](const Reply& reply) {
                        const bool registered =
                            reply.whole() && (reply.status == 200 || reply.status == 201);
                        callback(registered, registered ? Error{} : WriteError(reply));
                      });
  }

 private:
  PlatformCaller caller;
};

}  // namespace

std::unique_ptr<TableStore> CreateHttpTableStore(HttpClient& client,
                                                 HttpPlatformSettings settings) {
  return std::make_unique<HttpTableStore>(client, std::move(settings));
}

std::unique_ptr<ObjectStore> CreateHttpObjectStore(HttpClient& client,
                                                   HttpPlatformSettings settings) {
  return std::make_unique<HttpObjectStore>(client, std::move(settings));
}

std::unique_ptr<HostList> CreateHttpHostList(HttpClient& client, HttpPlatformSettings settings) {
  return std::make_unique<HttpHostList>(client, std::move(settings));
}

}  // namespace pimentopin

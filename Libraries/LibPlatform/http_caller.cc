#include "Libraries/LibPlatform/http_caller.h"

#include <memory>
#include <utility>

namespace pimentopin {

std::string_view TransferErrorName(TransferError error) {
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

std::string DescribeReply(const HttpReply& reply) {
  if (!reply.whole()) {
    return "platform: " + std::string(TransferErrorName(reply.end.error));
  }
  return "platform answered with status " + std::to_string(reply.status);
}

HttpCaller::HttpCaller(HttpClient& client, HttpCallerSettings settings)
    : client(client), settings(std::move(settings)) {}

void HttpCaller::Call(const std::string& method,
                      const std::string& target,
                      HttpHeaders headers,
                      std::string body,
                      Callback callback,
                      Duration extra_time) {
  auto reply = std::make_shared<HttpReply>();
  TransferCallbacks hooks;
  hooks.on_headers = [reply](int status, const HttpHeaders& fields) {
    reply->status = status;
    reply->headers = fields;
  };
  hooks.on_body = [reply](const std::string& bytes) { reply->body += bytes; };
  hooks.on_end = [reply, post = this->settings.post,
                  callback = std::move(callback)](const TransferResult& end) {
    reply->end = end;
    post([reply, callback] { callback(*reply); });
  };
  this->client.Start({.method = method,
                      .url = this->settings.base_url + target,
                      .headers = std::move(headers),
                      .body = std::move(body),
                      .timeout = this->settings.timeout + extra_time},
                     std::move(hooks));
}

}  // namespace pimentopin

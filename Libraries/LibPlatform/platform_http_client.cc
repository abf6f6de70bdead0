#include "Libraries/LibPlatform/platform_http_client.h"

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
      return "truncated response";
    case TransferError::kTimeout:
      return "time-out";
    case TransferError::kMalformed:
      return "malformed response";
    case TransferError::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

std::string DescribeError(const PlatformResponse& response) {
  if (!response.complete()) {
    return "platform: " + std::string(TransferErrorName(response.result.error));
  }
  return "platform responded with status " + std::to_string(response.status);
}

PlatformHttpClient::PlatformHttpClient(HttpClient& client, PlatformHttpClientSettings settings)
    : client(client), settings(std::move(settings)) {}

void PlatformHttpClient::Call(const std::string& method,
                              const std::string& path,
                              HttpHeaders headers,
                              std::string body,
                              Callback callback,
                              Duration extra_timeout) {
  auto response = std::make_shared<PlatformResponse>();
  TransferCallbacks callbacks;
  callbacks.on_headers = [response](int status, const HttpHeaders& response_headers) {
    response->status = status;
    response->headers = response_headers;
    return true;
  };
  callbacks.on_body = [response](const std::string& bytes) { response->body += bytes; };
  callbacks.on_end = [response, post = this->settings.post,
                      callback = std::move(callback)](const TransferResult& result) {
    response->result = result;
    post([response, callback] { callback(*response); });
  };
  this->client.Start({.method = method,
                      .url = this->settings.base_url + path,
                      .headers = std::move(headers),
                      .body = std::move(body),
                      .timeout = this->settings.timeout + extra_timeout,
                      .body_timeout = this->settings.body_timeout},
                     std::move(callbacks));
}

}  // namespace pimentopin

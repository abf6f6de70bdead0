#include "Libraries/LibPlatform/platform_call.h"

#include <fmt/format.h>

#include <memory>
#include <string_view>
#include <utility>

namespace pimentopin {
namespace {

// The largest object is a configuration document.
constexpr std::size_t kMaxAnswerBytes = 64 << 20;

std::string_view Describe(TransferError error) {
  switch (error) {
    case TransferError::kConnectFailure:
      return "no connection";
    case TransferError::kTimeout:
      return "time-out";
    case TransferError::kTruncated:
      return "truncated answer";
    case TransferError::kConnectionLost:
      return "connection lost";
    case TransferError::kMalformed:
      return "malformed answer";
    case TransferError::kCancelled:
      return "cancelled";
    case TransferError::kNone:
      break;
  }
  return "";
}

bool IsUnreserved(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_' || byte == '~' ||
         byte == '/';
}

}  // namespace

void CallPlatform(HttpClient& client,
                  const HttpPlatformSettings& settings,
                  HttpClientRequest request,
                  std::function<void(const PlatformAnswer&)> callback) {
  request.timeout = settings.timeout;
  const auto answer = std::make_shared<PlatformAnswer>();
  TransferHooks hooks;
  hooks.on_headers = [answer](int status, const HttpHeaders&) { answer->status = status; };
  hooks.on_body = [answer](std::string bytes) {
    if (answer->body.size() + bytes.size() <= kMaxAnswerBytes) {
      answer->body += bytes;
    } else {
      answer->error = {ErrorCode::kTooLarge, "the platform's answer is too large"};
    }
  };
  hooks.on_end = [answer, post = settings.post,
                  callback = std::move(callback)](const TransferEnd& end) {
    if (end.error != TransferError::kNone) {
      answer->status = 0;
      answer->error = {
          end.may_have_been_sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnreachable,
          fmt::format("platform: {}", Describe(end.error))};
    }
    post([answer, callback] { callback(*answer); });
  };
  client.Start(std::move(request), std::move(hooks));
}

Error UnexpectedStatus(const PlatformAnswer& answer) {
  if (answer.error.code != ErrorCode::kNone) {
    return answer.error;
  }
  return {answer.status >= 500 ? ErrorCode::kUnknownOutcome : ErrorCode::kProtocol,
          fmt::format("platform: status {}", answer.status)};
}

std::string EscapeKey(const std::string& key) {
  std::string escaped;
  for (const char byte : key) {
    if (IsUnreserved(byte)) {
      escaped.push_back(byte);
    } else {
      escaped += fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
  }
  return escaped;
}

}  // namespace pimentopin

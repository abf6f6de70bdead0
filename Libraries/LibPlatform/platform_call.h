#pragma once

#include <functional>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibHttp/http_client.h"
#include "Libraries/LibPlatform/http_platform.h"

namespace pimentopin {

struct PlatformAnswer {
  // 0 if there was no whole answer.
  int status = 0;
  std::string body;
  // Set if there was no whole answer: kUnreachable if nothing was sent, else
  // kUnknownOutcome.
  Error error;

  friend bool operator==(const PlatformAnswer&, const PlatformAnswer&) = default;
};

// Sends one call to the platform and delivers the collected answer through
// settings.post.
void CallPlatform(HttpClient& client,
                  const HttpPlatformSettings& settings,
                  HttpClientRequest request,
                  std::function<void(const PlatformAnswer&)> callback);

// Error for a status that the caller did not expect. A server error may come
// after a write has taken effect.
Error UnexpectedStatus(const PlatformAnswer& answer);

// Escapes a key for use in a path; '/' stays.
std::string EscapeKey(const std::string& key);

}  // namespace pimentopin

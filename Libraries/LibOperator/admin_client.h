#pragma once

#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

struct AdminRequest {
  // "GET" or "POST".
  std::string method;
  // Path with query string.
  std::string path;
  // JSON document; sent only with POST.
  std::string body;

  friend bool operator==(const AdminRequest&, const AdminRequest&) = default;
};

struct AdminResponse {
  int status = 0;
  std::string body;

  friend bool operator==(const AdminResponse&, const AdminResponse&) = default;
};

// Sends requests to the operator port of a host.
class AdminClient {
 public:
  virtual ~AdminClient() = default;

  // `host` is IP:port. Returns std::nullopt unless a complete response arrived;
  // `error` is then ErrorCode::kUnreachable if nothing was sent, or
  // ErrorCode::kUnknownOutcome if the host may have received the request.
  virtual std::optional<AdminResponse> Send(const std::string& host,
                                            const AdminRequest& request,
                                            Error& error) = 0;
};

}  // namespace pimentopin

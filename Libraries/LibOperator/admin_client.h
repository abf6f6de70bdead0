#pragma once

#include <optional>
#include <string>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

struct AdminRequest {
  // GET or POST.
  std::string method;
  // Path with query.
  std::string path;
  // JSON; sent with POST only.
  std::string body;

  friend bool operator==(const AdminRequest&, const AdminRequest&) = default;
};

struct AdminResponse {
  int status = 0;
  std::string body;

  friend bool operator==(const AdminResponse&, const AdminResponse&) = default;
};

// Requests to the operator port of one host.
class AdminClient {
 public:
  virtual ~AdminClient() = default;

  // `host` is IP:port. Absent without a whole response: ErrorCode::kUnreachable
  // if nothing was sent, ErrorCode::kUnknownOutcome if the host may have
  // received the request.
  virtual std::optional<AdminResponse> Send(const std::string& host,
                                            const AdminRequest& request,
                                            Error& error) = 0;
};

}  // namespace pimentopin

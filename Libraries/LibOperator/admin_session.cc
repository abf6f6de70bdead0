#include "Libraries/LibOperator/admin_session.h"

#include <utility>

namespace pimentopin {

AdminSession::AdminSession(AdminClient& admin_client, std::vector<std::string> host_addresses)
    : client(admin_client), addresses(std::move(host_addresses)) {}

std::optional<AdminResponse> AdminSession::Get(const std::string& path, Error& error) {
  std::string reasons;
  for (const std::string& host : this->addresses) {
    Error reason;
    auto response = this->client.Send(host, {.method = "GET", .path = path}, reason);
    if (response && response->status < 500) {
      return response;
    }
    if (response) {
      reason.message = host + ": status " + std::to_string(response->status);
    }
    reasons += (reasons.empty() ? "" : "; ") + reason.message;
  }
  error = {ErrorCode::kUnreachable, reasons};
  return std::nullopt;
}

std::optional<AdminResponse> AdminSession::Post(const std::string& host,
                                                const std::string& path,
                                                const std::string& body,
                                                Error& error) {
  return this->client.Send(host, {.method = "POST", .path = path, .body = body}, error);
}

}  // namespace pimentopin

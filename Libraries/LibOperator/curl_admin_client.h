#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

struct CurlAdminClientSettings {
  Duration connect_timeout = std::chrono::seconds(2);
  // For the whole exchange.
  Duration timeout = std::chrono::seconds(10);
  std::size_t max_response_bytes = 64 << 20;

  friend bool operator==(const CurlAdminClientSettings&, const CurlAdminClientSettings&) = default;
};

// Client on libcurl's easy interface; each request has its own connection, so
// that libcurl never sends a request a second time.
class CurlAdminClient : public AdminClient {
 public:
  explicit CurlAdminClient(CurlAdminClientSettings client_settings);

  std::optional<AdminResponse> Send(const std::string& host,
                                    const AdminRequest& request,
                                    Error& error) override;

 private:
  CurlAdminClientSettings settings;
};

}  // namespace pimentopin

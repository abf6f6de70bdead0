#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

struct CurlAdminClientSettings {
  Duration connect_timeout = std::chrono::seconds(2);
  // From the start of the connection attempt to the end of the response.
  Duration timeout = std::chrono::seconds(10);
  std::size_t max_response_bytes = 64 << 20;

  friend bool operator==(const CurlAdminClientSettings&, const CurlAdminClientSettings&) = default;
};

// Admin client based on libcurl's easy interface. Each request uses a new
// connection, because libcurl resends a request whose reused connection was
// closed, and a change must not be sent twice.
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

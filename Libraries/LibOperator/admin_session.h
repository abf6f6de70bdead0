#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

// Sends requests to a list of hosts, which are tried in order.
class AdminSession {
 public:
  AdminSession(AdminClient& admin_client, std::vector<std::string> host_addresses);

  // Returns the first response with a status below 500. Returns std::nullopt if
  // no host gives one; `error` then lists the reason for each host.
  std::optional<AdminResponse> Get(const std::string& path, Error& error);
  // Sends one request to one host, without retries.
  std::optional<AdminResponse> Post(const std::string& host,
                                    const std::string& path,
                                    const std::string& body,
                                    Error& error);

  const std::vector<std::string>& hosts() const { return this->addresses; }

 private:
  AdminClient& client;
  std::vector<std::string> addresses;
};

}  // namespace pimentopin

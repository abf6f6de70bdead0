#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

// The hosts that a command may use, in order of preference.
class AdminSession {
 public:
  AdminSession(AdminClient& admin_client, std::vector<std::string> host_addresses);

  // Asks the hosts in turn until one gives a response below 500. Without one,
  // the reasons of all hosts are joined in `error`.
  std::optional<AdminResponse> Get(const std::string& path, Error& error);
  // One request to one host.
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

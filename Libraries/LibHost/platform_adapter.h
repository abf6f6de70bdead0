#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibConfig/registered_target.h"
#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/findings.h"
#include "Libraries/LibHost/http_dialect.h"
#include "Libraries/LibPlatform/platform_http_client.h"
#include "Libraries/LibPlatform/platform_store.h"

namespace pimentopin {

// Platform-specific names, formats and clients of a host.
struct PlatformAdapter {
  // The client must outlive the store.
  std::function<std::unique_ptr<PlatformStore>(HttpClient&, PlatformHttpClientSettings)>
      create_store;
  std::shared_ptr<const HttpDialect> dialect;

  // Table in which targets register themselves; empty if they do not.
  std::string target_table;
  // Returns no value and sets `error` if the entry does not describe a usable target.
  std::function<std::optional<RegisteredTarget>(const std::string& name,
                                                std::string_view value,
                                                Error& error)>
      read_target;

  // Row with the configuration written by the platform's operator; empty if operators of
  // the hosts write it through the hosts.
  std::string configuration_table;
  std::string configuration_key;
  std::function<std::optional<Configuration>(std::string_view text, Findings& findings)>
      read_configuration;
  // Replaces the keys in a configuration that was read by their digests; read_configuration reads
  // both forms.
  std::function<std::string(std::string_view text)> without_keys;
};

}  // namespace pimentopin

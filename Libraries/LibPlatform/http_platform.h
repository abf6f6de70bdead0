#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_client.h"
#include "Libraries/LibPlatform/host_list.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

struct HttpPlatformSettings {
  // http://IP:port
  std::string base_url;
  Duration timeout = std::chrono::seconds(2);
  // Runs a function on the control thread; callbacks are delivered through it.
  std::function<void(std::function<void()>)> post;
};

// The platform's services over HTTP. The client must outlive the stores.
std::unique_ptr<TableStore> CreateHttpTableStore(HttpClient& client, HttpPlatformSettings settings);
std::unique_ptr<ObjectStore> CreateHttpObjectStore(HttpClient& client,
                                                   HttpPlatformSettings settings);
std::unique_ptr<HostList> CreateHttpHostList(HttpClient& client, HttpPlatformSettings settings);

}  // namespace pimentopin

#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibCore/store_version.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Response to one call, or the error that ended it.
struct PlatformResponse {
  TransferResult result;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool complete() const { return this->result.error == TransferError::kNone; }
};

// Name of the error for messages, such as "connect failure" or "time-out".
std::string_view TransferErrorName(TransferError error);

// One-line description of the error or unexpected status.
std::string DescribeError(const PlatformResponse& response);

struct PlatformHttpClientSettings {
  // http://IP:port
  std::string base_url;
  Duration timeout = std::chrono::seconds(1);
  // Additional time for a body to arrive, for large responses on thin links.
  Duration body_timeout = std::chrono::seconds(3);
  // Runs a function on the control thread; responses are delivered through it.
  std::function<void(std::function<void()>)> post;
  // Receives the time that the store stated in the response to a call which was sent and answered
  // at these times; may be empty.
  std::function<void(BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store)>
      on_store_time = {};
  // Called with each new era of the store, before the response that states it is handled; may be
  // empty.
  std::function<void(StoreEra era)> on_store_era = {};
};

// HTTP client for the platform that delivers responses on the control thread.
class PlatformHttpClient {
 public:
  using Callback = std::function<void(const PlatformResponse&)>;

  // `client` must outlive this object.
  PlatformHttpClient(HttpClient& client, PlatformHttpClientSettings settings);

  // `extra_timeout` is added to the timeout, for calls that the server may hold open.
  void Call(const std::string& method,
            const std::string& path,
            HttpHeaders headers,
            std::string body,
            Callback callback,
            Duration extra_timeout = {});
  // Runs a function on the control thread.
  void Post(std::function<void()> function) { this->settings.post(std::move(function)); }

 private:
  HttpClient& client;
  const PlatformHttpClientSettings settings;
};

}  // namespace pimentopin

#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// What became of one call.
struct HttpReply {
  TransferResult end;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool whole() const { return this->end.error == TransferError::kNone; }
};

// "connect failure", "time-out", ...
std::string_view TransferErrorName(TransferError error);

// One line on why the reply is not the one that was hoped for.
std::string DescribeReply(const HttpReply& reply);

struct HttpCallerSettings {
  // http://IP:port
  std::string base_url;
  Duration timeout = std::chrono::seconds(1);
  // Runs a function on the control thread; replies are delivered through it.
  std::function<void(std::function<void()>)> post;
};

// Makes calls and delivers the replies on the control thread.
class HttpCaller {
 public:
  using Callback = std::function<void(const HttpReply&)>;

  // The client must outlive the caller.
  HttpCaller(HttpClient& client, HttpCallerSettings settings);

  // `extra_time` is added to the time-out, for calls that wait at the server.
  void Call(const std::string& method,
            const std::string& target,
            HttpHeaders headers,
            std::string body,
            Callback callback,
            Duration extra_time = {});
  // Runs a function on the control thread.
  void Post(std::function<void()> function) { this->settings.post(std::move(function)); }

 private:
  HttpClient& client;
  const HttpCallerSettings settings;
};

}  // namespace pimentopin

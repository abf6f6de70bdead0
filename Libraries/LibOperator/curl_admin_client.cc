#include "Libraries/LibOperator/curl_admin_client.h"

#include <curl/curl.h>

#include <memory>

namespace pimentopin {
namespace {

struct EasyHandleDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyHandleDeleter>;

struct HeaderListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

struct Exchange {
  std::size_t max_bytes = 0;
  std::string body;
  bool may_have_been_sent = false;
};

std::size_t TakeBody(char* bytes, std::size_t size, std::size_t count, void* context) {
  auto* const exchange = static_cast<Exchange*>(context);
  if (exchange->body.size() + size * count > exchange->max_bytes) {
    return 0;
  }
  exchange->body.append(bytes, size * count);
  return size * count;
}

// Called when the connection stands and before the first byte is written.
int BeforeSending(void* context, char* /*ip*/, char* /*local_ip*/, int /*port*/, int /*local*/) {
  static_cast<Exchange*>(context)->may_have_been_sent = true;
  return CURL_PREREQFUNC_OK;
}

HeaderList MakeHeaders() {
  HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/json"));
  // Without this, libcurl waits for "100 Continue" before it sends a large body.
  curl_slist_append(headers.get(), "Expect:");
  return headers;
}

long Milliseconds(Duration duration) {
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void Configure(CURL* handle,
               const CurlAdminClientSettings& settings,
               const std::string& url,
               const AdminRequest& request,
               curl_slist* headers,
               Exchange& exchange) {
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, Milliseconds(settings.connect_timeout));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, Milliseconds(settings.timeout));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &TakeBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &exchange);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &BeforeSending);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &exchange);
  if (request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
}

}  // namespace

CurlAdminClient::CurlAdminClient(CurlAdminClientSettings client_settings)
    : settings(client_settings) {
  // Counted by libcurl, so that a second client in the process does no harm.
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

std::optional<AdminResponse> CurlAdminClient::Send(const std::string& host,
                                                   const AdminRequest& request,
                                                   Error& error) {
  const EasyHandle handle(curl_easy_init());
  const HeaderList headers = MakeHeaders();
  if (!handle || !headers) {
    error = {ErrorCode::kInternal, "libcurl has no memory"};
    return std::nullopt;
  }
  Exchange exchange{.max_bytes = this->settings.max_response_bytes};
  const std::string url = "http://" + host + request.path;
  Configure(handle.get(), this->settings, url, request, headers.get(), exchange);
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    error = {exchange.may_have_been_sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnreachable,
             host + ": " + curl_easy_strerror(code)};
    return std::nullopt;
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  return AdminResponse{.status = static_cast<int>(status), .body = std::move(exchange.body)};
}

}  // namespace pimentopin

#include "Libraries/LibOperator/curl_admin_client.h"

#include <curl/curl.h>

#include <memory>
#include <string_view>

#include "Libraries/LibHttp/response_head.h"

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

struct Transfer {
  std::size_t max_body_bytes = 0;
  std::string body;
  // Status of the last status line.
  int status = 0;
  bool may_have_been_sent = false;
};

std::size_t AppendBody(char* bytes, std::size_t size, std::size_t count, void* context) {
  auto* const transfer = static_cast<Transfer*>(context);
  if (transfer->body.size() + size * count > transfer->max_body_bytes) {
    return 0;
  }
  transfer->body.append(bytes, size * count);
  return size * count;
}

std::size_t ReadHeaderLine(char* bytes, std::size_t size, std::size_t count, void* context) {
  const std::string_view line(bytes, size * count);
  if (line.starts_with("HTTP/")) {
    static_cast<Transfer*>(context)->status = ParseStatus(line);
  }
  return line.size();
}

// Called once the connection is established, before the first byte is sent.
int OnPreRequest(void* context, char* /*ip*/, char* /*local_ip*/, int /*port*/, int /*local*/) {
  static_cast<Transfer*>(context)->may_have_been_sent = true;
  return CURL_PREREQFUNC_OK;
}

HeaderList MakeHeaderList() {
  HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/json"));
  // Disables the wait for "100 Continue", which libcurl does before a large body.
  curl_slist_append(headers.get(), "Expect:");
  return headers;
}

long ToMilliseconds(Duration duration) {
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void ConfigureHandle(CURL* handle,
                     const CurlAdminClientSettings& settings,
                     const std::string& url,
                     const AdminRequest& request,
                     curl_slist* headers,
                     Transfer& transfer) {
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(settings.connect_timeout));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, ToMilliseconds(settings.timeout));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &ReadHeaderLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnPreRequest);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
  if (request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
}

}  // namespace

CurlAdminClient::CurlAdminClient(CurlAdminClientSettings client_settings)
    : settings(client_settings) {
  // libcurl counts the calls, so a process may create several clients.
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

std::optional<AdminResponse> CurlAdminClient::Send(const std::string& host,
                                                   const AdminRequest& request,
                                                   Error& error) {
  const EasyHandle handle(curl_easy_init());
  const HeaderList headers = MakeHeaderList();
  if (!handle || !headers) {
    error = {ErrorCode::kInternal, "libcurl could not allocate a request"};
    return std::nullopt;
  }
  Transfer transfer{.max_body_bytes = this->settings.max_response_bytes};
  const std::string url = "http://" + host + request.path;
  ConfigureHandle(handle.get(), this->settings, url, request, headers.get(), transfer);
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    error = {transfer.may_have_been_sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnreachable,
             host + ": " + curl_easy_strerror(code)};
    return std::nullopt;
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  // libcurl accepts any three digits and what follows them, and reports 101 as a final response.
  if (transfer.status < 200 || transfer.status != status) {
    error = {ErrorCode::kUnknownOutcome, host + ": malformed response"};
    return std::nullopt;
  }
  return AdminResponse{.status = transfer.status, .body = std::move(transfer.body)};
}

}  // namespace pimentopin

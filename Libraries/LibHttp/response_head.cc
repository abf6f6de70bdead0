#include "Libraries/LibHttp/response_head.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

bool IsSetByServer(const HttpHeader& header) {
  constexpr std::array<std::string_view, 4> kServerHeaders{"Connection", "Content-Length",
                                                           "Keep-Alive", "Transfer-Encoding"};
  return std::any_of(kServerHeaders.begin(), kServerHeaders.end(),
                     [&](std::string_view name) { return EqualHeaderNames(header.name, name); });
}

}  // namespace

int ParseStatus(std::string_view status_line) {
  const std::size_t space = status_line.find(' ');
  if (!status_line.starts_with("HTTP/") || space == std::string_view::npos) {
    return 0;
  }
  std::string_view code = status_line.substr(space + 1);
  code = code.substr(0, code.find_first_of(" \r\n"));
  int status = 0;
  const auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), status);
  const bool is_code = code.size() == 3 && error == std::errc() && end == code.data() + code.size();
  return is_code && status >= 100 && status <= 599 ? status : 0;
}

bool IsBodilessStatus(int status) {
  return status < 200 || status == 204 || status == 304;
}

std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               const ResponseFraming& framing) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += http_status_str(static_cast<http_status>(status));
  head += "\r\n";
  for (const HttpHeader& header : headers) {
    if (!IsSetByServer(header) && IsValidHeader(header)) {
      head += header.name + ": " + header.value + "\r\n";
    }
  }
  if (framing.chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (framing.content_length) {
    head += "Content-Length: " + std::to_string(*framing.content_length) + "\r\n";
  }
  head += framing.keep_alive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
  return head;
}

HttpHeaders ErrorResponseHeaders(const RequestRefusal& refusal) {
  HttpHeaders headers{{"Content-Type", "application/json"},
                      {"Pimentopin-Outcome", "not-run"},
                      {"Pimentopin-Reason", refusal.reason}};
  if (refusal.status == 503) {
    headers.push_back({"Retry-After", "1"});
  }
  return headers;
}

std::string ErrorResponseBody(const RequestRefusal& refusal) {
  const nlohmann::json body = {{"error",
                                {{"reason", refusal.reason},
                                 {"message", refusal.message},
                                 {"outcome", "not-run"},
                                 {"request_id", ""}}}};
  return body.dump() + "\n";
}

}  // namespace pimentopin

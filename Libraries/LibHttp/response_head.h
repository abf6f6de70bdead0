#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibHttp/request_inspector.h"

namespace pimentopin {

// How a response delimits its body and whether the connection persists.
struct ResponseFraming {
  // Chunked transfer coding; takes precedence over the length.
  bool chunked = false;
  // Value of the Content-Length header; without a value the header is omitted.
  std::optional<std::size_t> content_length;
  bool keep_alive = true;
};

// Status code of a status line; 0 if the line has none that HTTP defines, which are 100 to 599.
int ParseStatus(std::string_view status_line);

// True if a response with this status never has a body.
bool IsBodilessStatus(int status);

// Status line and header section of a response, including the final empty line. Omits the headers
// that the server sets itself and headers that are not valid.
std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               const ResponseFraming& framing);

// Headers and JSON body of the error response to a request that the server refuses before calling
// the handler.
HttpHeaders ErrorResponseHeaders(const RequestRefusal& refusal);
std::string ErrorResponseBody(const RequestRefusal& refusal);

}  // namespace pimentopin

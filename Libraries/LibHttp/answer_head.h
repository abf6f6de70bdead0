#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibHttp/request_inspector.h"

namespace pimentopin {

// How the end of an answer's body is marked.
struct AnswerFraming {
  // Chunked transfer coding; takes precedence over the length.
  bool chunked = false;
  // Value of Content-Length; none sends no such header.
  std::optional<std::size_t> content_length;
  bool keep_alive = true;
};

// True if an answer with this status never has a body.
bool IsBodilessStatus(int status);

// Status line and header of an answer, with the blank line. Headers that the server sets itself and
// headers that would break the framing are left out.
std::string AnswerHead(int status, const HttpHeaders& headers, const AnswerFraming& framing);

// Header and JSON body of an error of the server itself. The request did not reach the handler.
HttpHeaders NotRunHeaders(const RequestFault& fault);
std::string NotRunBody(const RequestFault& fault);

}  // namespace pimentopin

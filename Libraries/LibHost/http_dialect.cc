#include "Libraries/LibHost/http_dialect.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace pimentopin {
namespace {

bool IsExcludedHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kExcluded = {
      "connection", "keep-alive",     "transfer-encoding", "te",     "trailer",
      "upgrade",    "content-length", "proxy-connection",  "expect", "host"};
  constexpr std::string_view kPrefix = "pimentopin-";
  return std::any_of(kExcluded.begin(), kExcluded.end(),
                     [&](std::string_view excluded) { return EqualHeaderNames(excluded, name); }) ||
         EqualHeaderNames(name.substr(0, kPrefix.size()), kPrefix);
}

}  // namespace

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  HttpHeaders forwardable;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwardable),
               [](const HttpHeader& header) { return !IsExcludedHeader(header.name); });
  return forwardable;
}

}  // namespace pimentopin

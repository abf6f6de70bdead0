#include "Libraries/LibHost/query_parameters.h"

#include <curl/curl.h>

#include <memory>

namespace pimentopin {
namespace {

std::string PercentDecode(std::string_view text) {
  int length = 0;
  const std::unique_ptr<char, decltype(&curl_free)> decoded(
      curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length), curl_free);
  return decoded ? std::string(decoded.get(), static_cast<std::size_t>(length)) : std::string();
}

}  // namespace

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const std::string_view name = pair.substr(0, equals);
    if (!name.empty()) {
      const std::string_view value =
          equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
      parameters[PercentDecode(name)] = value.empty() ? "" : PercentDecode(value);
    }
  }
  return parameters;
}

}  // namespace pimentopin

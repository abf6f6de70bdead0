#include "Libraries/LibHttp/request_inspector.h"

#include <http_parser.h>

namespace pimentopin {

struct RequestInspector::State {
  RequestLimits limits;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  std::uint64_t complete_requests = 0;
  bool in_request = false;
  bool in_body = false;
  bool after_final_request = false;
  std::optional<RequestRefusal> refusal;
  http_parser parser{};
  http_parser_settings settings{};
};

namespace {

// http_parser stops with an error on any callback result other than 0, 1 and 2.
constexpr int kStopParsing = -1;

RequestRefusal BodyTooLarge(std::size_t limit) {
  return {.status = 413,
          .reason = "body-too-large",
          .message = "the request body exceeds " + std::to_string(limit) + " bytes"};
}

RequestRefusal HeaderTooLarge() {
  return {.status = 431, .reason = "header-too-large", .message = "the header is too large"};
}

RequestRefusal RefusalFromParserError(http_errno error) {
  if (error == HPE_HEADER_OVERFLOW) {
    return HeaderTooLarge();
  }
  return {.status = 400, .reason = "malformed-request", .message = http_errno_description(error)};
}

}  // namespace

RequestInspector::RequestInspector(const RequestLimits& limits) : state(std::make_unique<State>()) {
  this->state->limits = limits;
  this->state->parser.data = this->state.get();
  http_parser_init(&this->state->parser, HTTP_REQUEST);

  http_parser_settings& settings = this->state->settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = [](http_parser* parser) {
    auto& current = *static_cast<State*>(parser->data);
    current.in_request = true;
    current.header_bytes = 0;
    current.body_bytes = 0;
    return 0;
  };
  const http_data_cb count_header_bytes = [](http_parser* parser, const char*, std::size_t length) {
    auto& current = *static_cast<State*>(parser->data);
    current.header_bytes += length;
    if (current.header_bytes > current.limits.max_header_bytes) {
      current.refusal = HeaderTooLarge();
      return kStopParsing;
    }
    return 0;
  };
  settings.on_url = count_header_bytes;
  settings.on_header_field = count_header_bytes;
  settings.on_header_value = count_header_bytes;
  settings.on_headers_complete = [](http_parser* parser) {
    auto& current = *static_cast<State*>(parser->data);
    if (parser->upgrade != 0) {
      current.refusal = {.status = 501,
                         .reason = "upgrade-unsupported",
                         .message = "CONNECT and protocol upgrades are not supported"};
      return kStopParsing;
    }
    current.in_body = true;
    // http_parser reports a missing Content-Length as the maximum value.
    const bool has_content_length = parser->content_length != UINT64_MAX;
    if (has_content_length && parser->content_length > current.limits.max_body_bytes) {
      current.refusal = BodyTooLarge(current.limits.max_body_bytes);
      return kStopParsing;
    }
    return 0;
  };
  settings.on_body = [](http_parser* parser, const char*, std::size_t length) {
    auto& current = *static_cast<State*>(parser->data);
    current.body_bytes += length;
    if (current.body_bytes > current.limits.max_body_bytes) {
      current.refusal = BodyTooLarge(current.limits.max_body_bytes);
      return kStopParsing;
    }
    return 0;
  };
  settings.on_message_complete = [](http_parser* parser) {
    auto& current = *static_cast<State*>(parser->data);
    current.in_request = false;
    current.in_body = false;
    ++current.complete_requests;
    return 0;
  };
}

RequestInspector::~RequestInspector() = default;
RequestInspector::RequestInspector(RequestInspector&&) noexcept = default;
RequestInspector& RequestInspector::operator=(RequestInspector&&) noexcept = default;

RequestInspector::Result RequestInspector::Inspect(std::string_view bytes) {
  State& current = *this->state;
  if (current.after_final_request) {
    return {};
  }
  const std::size_t parsed =
      http_parser_execute(&current.parser, &current.settings, bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&current.parser);
  if (error == HPE_OK) {
    return {.accepted_bytes = bytes.size()};
  }
  if (error == HPE_CLOSED_CONNECTION) {
    // Bytes after a request with "Connection: close" are ignored so that its response is still
    // sent.
    current.after_final_request = true;
    return {.accepted_bytes = parsed};
  }
  return {.refusal = current.refusal ? current.refusal : RefusalFromParserError(error)};
}

void RequestInspector::SetLimits(const RequestLimits& limits) {
  this->state->limits = limits;
}

bool RequestInspector::in_request() const {
  return this->state->in_request;
}

bool RequestInspector::in_body() const {
  return this->state->in_body;
}

std::uint64_t RequestInspector::complete_requests() const {
  return this->state->complete_requests;
}

}  // namespace pimentopin

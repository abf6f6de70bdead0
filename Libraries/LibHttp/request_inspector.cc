#include "Libraries/LibHttp/request_inspector.h"

#include <http_parser.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace pimentopin {

struct RequestInspector::State {
  RequestLimits limits;
  std::shared_ptr<BodyBudget> budget;
  // For the body of the request that is being received.
  BodyReservation reservation;
  std::deque<BodyReservation> complete_reservations;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  std::uint64_t complete_requests = 0;
  bool in_request = false;
  bool in_body = false;
  bool after_final_request = false;
  std::optional<RequestRefusal> refusal;
  http_parser parser{};
  http_parser_settings settings{};

  // Refuses the current request if its body, of which `size` bytes are known, is too large or does
  // not fit into the budget.
  std::optional<RequestRefusal> ReserveBody(std::uint64_t size);
};

namespace {

// http_parser stops with an error on any callback result other than 0, 1 and 2.
constexpr int kStopParsing = -1;

RequestRefusal BodyTooLarge(std::size_t limit) {
  return {.status = 413,
          .reason = "body-too-large",
          .message = "the request body exceeds " + std::to_string(limit) + " bytes"};
}

RequestRefusal NoMemoryForBody() {
  return {.status = 503,
          .reason = "body-memory-exhausted",
          .message = "other request bodies fill the memory for bodies"};
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

std::optional<RequestRefusal> RequestInspector::State::ReserveBody(std::uint64_t size) {
  const std::size_t limit = std::min(this->limits.max_body_bytes, this->budget->max_body_bytes());
  if (size > limit) {
    return BodyTooLarge(limit);
  }
  return this->reservation.GrowTo(size) ? std::nullopt : std::optional(NoMemoryForBody());
}

RequestInspector::RequestInspector(const RequestLimits& limits, std::shared_ptr<BodyBudget> budget)
    : state(std::make_unique<State>()) {
  this->state->limits = limits;
  this->state->budget = std::move(budget);
  this->state->parser.data = this->state.get();
  http_parser_init(&this->state->parser, HTTP_REQUEST);

  http_parser_settings& settings = this->state->settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = [](http_parser* parser) {
    auto& current = *static_cast<State*>(parser->data);
    current.in_request = true;
    current.header_bytes = 0;
    current.body_bytes = 0;
    current.reservation = BodyReservation(current.budget);
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
    if (has_content_length) {
      current.refusal = current.ReserveBody(parser->content_length);
    }
    return current.refusal ? kStopParsing : 0;
  };
  settings.on_body = [](http_parser* parser, const char*, std::size_t length) {
    auto& current = *static_cast<State*>(parser->data);
    current.body_bytes += length;
    current.refusal = current.ReserveBody(current.body_bytes);
    return current.refusal ? kStopParsing : 0;
  };
  settings.on_message_complete = [](http_parser* parser) {
    auto& current = *static_cast<State*>(parser->data);
    current.in_request = false;
    current.in_body = false;
    ++current.complete_requests;
    current.complete_reservations.push_back(std::move(current.reservation));
    // Inspect learns the position only when the parser stops.
    http_parser_pause(parser, 1);
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
  std::size_t parsed = 0;
  // The end of the last request that was received completely.
  std::size_t end_of_requests = 0;
  http_errno error = HPE_PAUSED;
  while (error == HPE_PAUSED) {
    http_parser_pause(&current.parser, 0);
    parsed += http_parser_execute(&current.parser, &current.settings, bytes.data() + parsed,
                                  bytes.size() - parsed);
    error = HTTP_PARSER_ERRNO(&current.parser);
    if (error == HPE_PAUSED) {
      end_of_requests = parsed;
    }
  }
  if (error == HPE_OK) {
    return {.accepted_bytes = bytes.size()};
  }
  if (error == HPE_CLOSED_CONNECTION) {
    // Bytes after a request with "Connection: close" are ignored so that its response is still
    // sent.
    current.after_final_request = true;
    return {.accepted_bytes = parsed};
  }
  return {.accepted_bytes = end_of_requests,
          .refusal = current.refusal ? current.refusal : RefusalFromParserError(error)};
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

BodyReservation RequestInspector::TakeReservation() {
  std::deque<BodyReservation>& reservations = this->state->complete_reservations;
  if (reservations.empty()) {
    return {};
  }
  BodyReservation reservation = std::move(reservations.front());
  reservations.pop_front();
  return reservation;
}

}  // namespace pimentopin

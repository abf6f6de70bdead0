#include "Libraries/LibHost/attempt_transfer.h"

#include <charconv>
#include <utility>

#include "Libraries/LibHost/error_response.h"

namespace pimentopin {
namespace {

// Flow control: reading from the target is paused when a response holds more than the budget allows
// it, and resumed when it holds less than this part of that.
constexpr std::size_t kResumeDivisor = 4;

}  // namespace

AttemptTransfer::AttemptTransfer(std::shared_ptr<Exchange> exchange,
                                 TargetAttempt attempt,
                                 const HttpDialect& dialect,
                                 std::shared_ptr<ResponseBudget> response_budget,
                                 Callbacks callbacks)
    : exchange(std::move(exchange)),
      attempt(std::move(attempt)),
      dialect(dialect),
      budget(std::move(response_budget)),
      callbacks(std::move(callbacks)),
      reservation(this->budget) {
  if (this->exchange->claim_key) {
    this->stored_body.emplace();
  }
}

void AttemptTransfer::Start(HttpClient& client, const std::string& address) {
  HttpClientRequest request{
      .method = this->exchange->request.method,
      .url = "http://" + address + this->exchange->target_path,
      .headers = this->dialect.TargetHeaders(*this->exchange, this->attempt),
      .body = this->exchange->request.body,
      .timeout = this->attempt.remaining,
      .accept_close_delimited_body = this->dialect.AcceptsCloseDelimitedBody(),
      .echoed_id = this->dialect.EchoedId(*this->exchange, this->attempt)};
  const auto self = this->shared_from_this();
  TransferCallbacks transfer_callbacks;
  transfer_callbacks.on_connection = [self](const ConnectionUse& use) { self->OnConnection(use); };
  transfer_callbacks.on_headers = [self](int code, const HttpHeaders& received) {
    return self->OnHeaders(code, received);
  };
  transfer_callbacks.on_body = [self](std::string bytes) { self->OnBody(std::move(bytes)); };
  transfer_callbacks.on_end = [self](const TransferResult& result) { self->OnEnd(result); };
  auto started = client.Start(std::move(request), std::move(transfer_callbacks));
  const std::lock_guard lock(this->mutex);
  this->transfer = std::move(started);
  // OnBody may have requested a pause before Start() returned the transfer.
  if (this->paused) {
    this->transfer->Pause();
  }
}

void AttemptTransfer::Cancel() {
  const std::lock_guard lock(this->mutex);
  if (this->transfer) {
    this->transfer->Cancel();
  }
}

bool AttemptTransfer::HasNoBody() const {
  return this->status == 204 || this->status == 304 || this->exchange->request.method == "HEAD";
}

bool AttemptTransfer::BuffersUntilComplete() const {
  if (this->HasNoBody()) {
    return false;
  }
  const std::string_view text = FindHeader(this->headers, "Content-Length");
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return !text.empty() && error == std::errc() && end == text.data() + text.size() &&
         length <= this->budget->MaxPerResponse();
}

void AttemptTransfer::Forward() {
  const std::lock_guard lock(this->mutex);
  this->forwarding = true;
  HttpHeaders response_headers = ForwardableHeaders(this->headers);
  response_headers.push_back(
      {std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kTarget))});
  response_headers.push_back({std::string(kRequestIdHeader), this->exchange->request_id});
  this->headers = std::move(response_headers);
  this->single_write = this->complete;
  if (this->HasNoBody() || this->single_write) {
    return;
  }
  this->exchange->responder->Start(this->status, this->headers);
  if (!this->buffered_body.empty()) {
    this->WriteLocked(std::exchange(this->buffered_body, {}));
  }
  this->ResumeLocked();
}

void AttemptTransfer::DiscardBody() {
  const std::lock_guard lock(this->mutex);
  this->discarding = true;
  this->buffered_body.clear();
  this->UpdateReservationLocked();
  if (this->paused && this->transfer) {
    this->paused = false;
    this->transfer->Resume();
  }
}

void AttemptTransfer::FinishResponse() {
  const std::lock_guard lock(this->mutex);
  if (this->HasNoBody() || this->single_write) {
    this->exchange->responder->Respond(this->status, this->headers, std::move(this->buffered_body));
    return;
  }
  this->exchange->responder->End();
}

int AttemptTransfer::status_code() {
  const std::lock_guard lock(this->mutex);
  return this->status;
}

StoredResponse AttemptTransfer::TakeStoredResponse() {
  const std::lock_guard lock(this->mutex);
  return {this->status, ForwardableHeaders(this->headers), std::move(this->stored_body)};
}

AttemptTrace AttemptTransfer::Trace() {
  const std::lock_guard lock(this->mutex);
  return {.connection = this->connection,
          .status = this->status,
          .named_request = this->response_info.named_request};
}

void AttemptTransfer::OnConnection(const ConnectionUse& use) {
  const std::lock_guard lock(this->mutex);
  this->connection = use;
}

bool AttemptTransfer::OnHeaders(int code, const HttpHeaders& received) {
  AttemptHeader header;
  bool deferred = false;
  {
    const std::lock_guard lock(this->mutex);
    this->status = code;
    this->headers = received;
    this->response_info = this->dialect.InterpretResponse(
        *this->exchange, this->attempt,
        {.status = code,
         .headers = received,
         .connection_reused = this->connection.earlier_requests > 0});
    if (this->response_info.named_request == NamedRequest::kOther) {
      // What the target stated in an earlier response need not hold any longer.
      this->response_info.retry_after = Duration::zero();
      this->response_info.request_rate_limit = 0;
      this->response_info.load.reset();
    }
    this->digest = ContentDigest::Create(this->response_info.content_digest);
    header = {.status = code,
              .shed = this->response_info.shed,
              .wrong_attempt_id = this->response_info.unusable && !this->response_info.shed,
              .target_draining = this->response_info.leaving,
              .retry_after = this->response_info.retry_after};
    // The header of a short response is reported only once the response is complete, so
    // that a retry can still replace a truncated one. The body of a response that is not
    // forwarded has no effect.
    deferred =
        code < 500 && !header.shed && !header.wrong_attempt_id && this->BuffersUntilComplete();
    this->header_deferred = deferred;
  }
  if (!deferred) {
    this->callbacks.on_header(header);
  }
  // After a response to another request, the one to this request is still to come and must not be
  // taken for that to the next. A response that must not be forwarded may be another one's.
  return !header.wrong_attempt_id;
}

void AttemptTransfer::OnBody(std::string bytes) {
  const std::lock_guard lock(this->mutex);
  if (this->digest) {
    this->digest->Update(bytes);
  }
  if (this->stored_body) {
    if (this->stored_body->size() + bytes.size() > ClaimStore::kMaxStoredBodyBytes) {
      this->stored_body.reset();
    } else {
      *this->stored_body += bytes;
    }
  }
  if (this->discarding) {
    return;
  }
  if (this->forwarding) {
    this->WriteLocked(std::move(bytes));
  } else {
    this->buffered_body += bytes;
  }
  this->UpdateReservationLocked();
  if (!this->paused && this->MustPauseLocked()) {
    this->paused = true;
    if (this->transfer) {
      this->transfer->Pause();
    }
  }
}

void AttemptTransfer::WriteLocked(std::string bytes) {
  const std::size_t size = bytes.size();
  this->unsent_bytes += size;
  this->exchange->responder->Write(
      std::move(bytes), [self = this->shared_from_this(), size] { self->OnWritten(size); });
}

void AttemptTransfer::OnWritten(std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->unsent_bytes -= bytes;
  this->UpdateReservationLocked();
  this->ResumeLocked();
}

void AttemptTransfer::UpdateReservationLocked() {
  this->reservation.Set(this->buffered_body.size() + this->unsent_bytes);
}

bool AttemptTransfer::MustPauseLocked() {
  const std::size_t held = this->buffered_body.size() + this->unsent_bytes;
  if (held <= this->budget->MaxPerResponse() || (this->header_deferred && !this->forwarding)) {
    return false;
  }
  if (held <= ResponseBudget::kMaxPerResponse) {
    this->budget->RecordEarlyPause();
  }
  return true;
}

void AttemptTransfer::ResumeLocked() {
  if (this->paused && (this->unsent_bytes == 0 ||
                       this->unsent_bytes < this->budget->MaxPerResponse() / kResumeDivisor)) {
    this->paused = false;
    this->transfer->Resume();
  }
}

AttemptResult AttemptTransfer::ResultLocked(const TransferResult& result) {
  // The header has decided these, however the body ends.
  if (this->response_info.shed) {
    return AttemptResult::kShed;
  }
  if (this->response_info.unusable) {
    return AttemptResult::kWrongAnswer;
  }
  switch (result.error) {
    case TransferError::kConnectFailure:
      return AttemptResult::kConnectFailure;
    case TransferError::kConnectionLost:
      return AttemptResult::kConnectionLost;
    case TransferError::kTruncated:
      return AttemptResult::kTruncated;
    case TransferError::kTimeout:
      return AttemptResult::kTimeout;
    case TransferError::kMalformed:
    case TransferError::kRejected:
      return AttemptResult::kWrongAnswer;
    case TransferError::kCancelled:
      return AttemptResult::kCancelled;
    case TransferError::kNone:
      break;
  }
  if (this->digest && !this->digest->Matches()) {
    return AttemptResult::kWrongAnswer;
  }
  return this->status >= 500 ? AttemptResult::kServerError : AttemptResult::kSuccess;
}

std::optional<double> AttemptTransfer::StatedRateLimitLocked() const {
  const double limit = this->response_info.request_rate_limit;
  // A response that may be another one's states a limit, but does not withdraw one.
  const bool states_nothing = this->status == 0 || (this->response_info.unusable && limit == 0);
  return states_nothing ? std::nullopt : std::optional(limit);
}

void AttemptTransfer::OnEnd(const TransferResult& result) {
  AttemptEnd attempt_end;
  {
    const std::lock_guard lock(this->mutex);
    this->complete = result.error == TransferError::kNone;
    attempt_end = {.result = this->ResultLocked(result),
                   .may_have_been_sent = result.may_have_been_sent,
                   .service_time = result.elapsed,
                   .target_draining = this->response_info.leaving,
                   .request_rate_limit = this->StatedRateLimitLocked(),
                   .load = this->response_info.load};
  }
  this->callbacks.on_end(attempt_end);
}

}  // namespace pimentopin

#include "Libraries/LibHost/attempt_transfer.h"

#include <charconv>
#include <utility>

#include "Libraries/LibHost/error_answer.h"

namespace pimentopin {
namespace {

// Reading from the target stops above the first bound and goes on below the second.
constexpr std::size_t kPauseBytes = 256 * 1024;
constexpr std::size_t kResumeBytes = 64 * 1024;

}  // namespace

AttemptTransfer::AttemptTransfer(std::shared_ptr<Exchange> exchange,
                                 TargetCall call,
                                 const MessageDialect& dialect,
                                 Hooks hooks)
    : exchange(std::move(exchange)),
      call(std::move(call)),
      dialect(dialect),
      hooks(std::move(hooks)) {
  if (this->exchange->claim_key) {
    this->stored_body.emplace();
  }
}

void AttemptTransfer::Start(HttpClient& client, const std::string& address) {
  HttpClientRequest request{.method = this->exchange->request.method,
                            .url = "http://" + address + this->exchange->target_path,
                            .headers = this->dialect.TargetHeaders(*this->exchange, this->call),
                            .body = this->exchange->request.body,
                            .timeout = this->call.remaining,
                            .accept_close_delimited_body = this->dialect.AcceptsUnmarkedEnd()};
  const auto self = this->shared_from_this();
  TransferCallbacks transfer_hooks;
  transfer_hooks.on_headers = [self](int code, const HttpHeaders& received) {
    self->OnHeaders(code, received);
  };
  transfer_hooks.on_body = [self](std::string bytes) { self->OnBody(std::move(bytes)); };
  transfer_hooks.on_end = [self](const TransferResult& end) { self->OnEnd(end); };
  auto started = client.Start(std::move(request), std::move(transfer_hooks));
  const std::lock_guard lock(this->mutex);
  this->transfer = std::move(started);
  // A pause decided before the handle was known.
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

bool AttemptTransfer::HoldsUntilWhole() const {
  if (this->HasNoBody()) {
    return false;
  }
  const std::string_view text = FindHeader(this->headers, "Content-Length");
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return !text.empty() && error == std::errc() && end == text.data() + text.size() &&
         length <= kPauseBytes;
}

void AttemptTransfer::Forward() {
  const std::lock_guard lock(this->mutex);
  this->forwarding = true;
  HttpHeaders answer = PassedOnHeaders(this->headers);
  answer.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kTarget))});
  answer.push_back({std::string(kRequestIdHeader), this->exchange->request_id});
  this->headers = std::move(answer);
  this->in_one_piece = this->whole;
  if (this->HasNoBody() || this->in_one_piece) {
    return;
  }
  this->exchange->responder->Start(this->status, this->headers);
  if (!this->held.empty()) {
    this->WriteLocked(std::exchange(this->held, {}));
  }
  if (this->paused && this->unsent < kResumeBytes) {
    this->paused = false;
    this->transfer->Resume();
  }
}

void AttemptTransfer::DiscardBody() {
  const std::lock_guard lock(this->mutex);
  this->discarding = true;
  this->held.clear();
  if (this->paused && this->transfer) {
    this->paused = false;
    this->transfer->Resume();
  }
}

void AttemptTransfer::FinishAnswer() {
  const std::lock_guard lock(this->mutex);
  if (this->HasNoBody() || this->in_one_piece) {
    this->exchange->responder->Respond(this->status, this->headers, std::move(this->held));
    return;
  }
  this->exchange->responder->End();
}

int AttemptTransfer::status_code() {
  const std::lock_guard lock(this->mutex);
  return this->status;
}

StoredOutcome AttemptTransfer::TakeOutcome() {
  const std::lock_guard lock(this->mutex);
  return {this->status, PassedOnHeaders(this->headers), std::move(this->stored_body)};
}

void AttemptTransfer::OnHeaders(int code, const HttpHeaders& received) {
  AttemptHeader header;
  bool waits = false;
  {
    const std::lock_guard lock(this->mutex);
    this->status = code;
    this->headers = received;
    this->facts = this->dialect.ReadAnswer(*this->exchange, this->call, code, received);
    this->digest = ContentDigest::Create(this->facts.content_digest);
    header = {.status = code,
              .shed = this->facts.shed,
              .wrong_attempt_id = this->facts.unusable && !this->facts.shed};
    // A short answer is passed on when it is whole, so that one that is cut
    // can still be replaced by a retry.
    waits = code < 500 && !header.wrong_attempt_id && this->HoldsUntilWhole();
  }
  if (!waits) {
    this->hooks.on_header(header);
  }
}

void AttemptTransfer::OnBody(std::string bytes) {
  const std::lock_guard lock(this->mutex);
  if (this->digest) {
    this->digest->Update(bytes);
  }
  if (this->stored_body) {
    if (this->stored_body->size() + bytes.size() > ClaimLedger::kMaxStoredBodyBytes) {
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
    this->held += bytes;
  }
  if (!this->paused && this->held.size() + this->unsent > kPauseBytes) {
    this->paused = true;
    if (this->transfer) {
      this->transfer->Pause();
    }
  }
}

void AttemptTransfer::WriteLocked(std::string bytes) {
  const std::size_t size = bytes.size();
  this->unsent += size;
  this->exchange->responder->Write(
      std::move(bytes), [self = this->shared_from_this(), size] { self->OnWritten(size); });
}

void AttemptTransfer::OnWritten(std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->unsent -= bytes;
  if (this->paused && this->unsent < kResumeBytes) {
    this->paused = false;
    this->transfer->Resume();
  }
}

AttemptResult AttemptTransfer::ResultLocked(const TransferResult& end) {
  switch (end.error) {
    case TransferError::kConnectFailure:
      return AttemptResult::kConnectFailure;
    case TransferError::kConnectionLost:
      return AttemptResult::kConnectionLost;
    case TransferError::kTruncated:
      return AttemptResult::kTruncated;
    case TransferError::kTimeout:
      return AttemptResult::kTimeout;
    case TransferError::kMalformed:
      return AttemptResult::kWrongAnswer;
    case TransferError::kCancelled:
      return AttemptResult::kCancelled;
    case TransferError::kNone:
      break;
  }
  if (this->facts.shed) {
    return AttemptResult::kShed;
  }
  if (this->facts.unusable || (this->digest && !this->digest->Matches())) {
    return AttemptResult::kWrongAnswer;
  }
  return this->status >= 500 ? AttemptResult::kServerError : AttemptResult::kSuccess;
}

void AttemptTransfer::OnEnd(const TransferResult& end) {
  AttemptEnd attempt_end;
  {
    const std::lock_guard lock(this->mutex);
    this->whole = end.error == TransferError::kNone;
    attempt_end = {.result = this->ResultLocked(end),
                   .may_have_been_sent = end.may_have_been_sent,
                   .service_time = end.elapsed,
                   .target_draining = this->facts.leaving};
  }
  this->hooks.on_end(attempt_end);
}

}  // namespace pimentopin

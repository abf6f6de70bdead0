#include "Libraries/LibHost/attempt_transfer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Libraries/LibHost/error_answer.h"

namespace pimentopin {
namespace {

// Reading from the target stops above the first bound and goes on below the second.
constexpr std::size_t kPauseBytes = 256 * 1024;
constexpr std::size_t kResumeBytes = 64 * 1024;

// Fields that belong to one connection, or that this host sets itself.
bool IsOwnField(std::string_view name) {
  constexpr std::array<std::string_view, 10> kOwn = {
      "connection", "keep-alive",     "transfer-encoding", "te",     "trailer",
      "upgrade",    "content-length", "proxy-connection",  "expect", "host"};
  constexpr std::string_view kPrefix = "pimentopin-";
  return std::any_of(kOwn.begin(), kOwn.end(),
                     [&](std::string_view own) { return EqualHeaderNames(own, name); }) ||
         EqualHeaderNames(name.substr(0, kPrefix.size()), kPrefix);
}

HttpHeaders PassedOn(const HttpHeaders& headers) {
  HttpHeaders passed;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(passed),
               [](const HttpHeader& header) { return !IsOwnField(header.name); });
  return passed;
}

std::string AttemptText(AttemptId attempt) {
  return fmt::format("{:016x}", RawId(attempt));
}

}  // namespace

AttemptTransfer::AttemptTransfer(std::shared_ptr<Exchange> exchange, AttemptId attempt, Hooks hooks)
    : exchange(std::move(exchange)), attempt(attempt), hooks(std::move(hooks)) {
  if (this->exchange->claim_key) {
    this->stored_body.emplace();
  }
}

void AttemptTransfer::Start(HttpClient& client, HttpClientRequest request) {
  const HttpHeaders passed = PassedOn(this->exchange->request.headers);
  request.headers.insert(request.headers.end(), passed.begin(), passed.end());
  request.headers.push_back({std::string(kAttemptIdHeader), AttemptText(this->attempt)});
  request.headers.push_back({std::string(kRequestIdHeader), this->exchange->request_id});
  request.headers.push_back({std::string(kCallerHeader), this->exchange->caller});
  request.headers.push_back(
      {std::string(kDeadlineHeader),
       std::to_string(std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count())});
  request.method = this->exchange->request.method;
  request.body = this->exchange->request.body;

  const auto self = this->shared_from_this();
  TransferHooks transfer_hooks;
  transfer_hooks.on_headers = [self](int code, const HttpHeaders& received) {
    self->OnHeaders(code, received);
  };
  transfer_hooks.on_body = [self](std::string bytes) { self->OnBody(std::move(bytes)); };
  transfer_hooks.on_end = [self](const TransferEnd& end) { self->OnEnd(end); };
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

void AttemptTransfer::Forward() {
  const std::lock_guard lock(this->mutex);
  this->forwarding = true;
  HttpHeaders answer = PassedOn(this->headers);
  answer.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kTarget))});
  answer.push_back({std::string(kRequestIdHeader), this->exchange->request_id});
  this->headers = std::move(answer);
  if (this->HasNoBody()) {
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
  if (this->HasNoBody()) {
    this->exchange->responder->Respond(this->status, this->headers, "");
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
  return {this->status, PassedOn(this->headers), std::move(this->stored_body)};
}

void AttemptTransfer::OnHeaders(int code, const HttpHeaders& received) {
  AttemptHeader header;
  {
    const std::lock_guard lock(this->mutex);
    this->status = code;
    this->headers = received;
    this->shed = code == 503 && FindHeader(received, "Target-Outcome") == "not-run";
    this->draining = FindHeader(received, "Target-State") == "draining";
    const std::string_view echoed = FindHeader(received, kAttemptIdHeader);
    this->wrong_attempt_id = !echoed.empty() && echoed != AttemptText(this->attempt);
    this->digest = ContentDigest::Create(FindHeader(received, "Content-Digest"));
    header = {.status = code, .shed = this->shed, .wrong_attempt_id = this->wrong_attempt_id};
  }
  this->hooks.on_header(header);
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

AttemptResult AttemptTransfer::ResultLocked(const TransferEnd& end) {
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
  if (this->shed) {
    return AttemptResult::kShed;
  }
  if (this->wrong_attempt_id || (this->digest && !this->digest->Matches())) {
    return AttemptResult::kWrongAnswer;
  }
  return this->status >= 500 ? AttemptResult::kServerError : AttemptResult::kSuccess;
}

void AttemptTransfer::OnEnd(const TransferEnd& end) {
  AttemptEnd attempt_end;
  {
    const std::lock_guard lock(this->mutex);
    attempt_end = {.result = this->ResultLocked(end),
                   .may_have_been_sent = end.may_have_been_sent,
                   .service_time = end.elapsed,
                   .target_draining = this->draining};
  }
  this->hooks.on_end(attempt_end);
}

}  // namespace pimentopin

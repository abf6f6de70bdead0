#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHost/content_digest.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibHost/message_dialect.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// Moves one attempt's request to a target and its answer back. Body bytes go
// from the client's thread to the responder without crossing to the control
// thread; bytes that arrive before the decision to forward are held back.
class AttemptTransfer : public std::enable_shared_from_this<AttemptTransfer> {
 public:
  struct Hooks {
    // Both run on the client's thread.
    std::function<void(const AttemptHeader&)> on_header;
    std::function<void(const AttemptEnd&)> on_end;
  };

  // The dialect must outlive the transfer.
  AttemptTransfer(std::shared_ptr<Exchange> exchange,
                  TargetCall call,
                  const MessageDialect& dialect,
                  Hooks hooks);

  // Sends the request to the target at IP:port.
  void Start(HttpClient& client, const std::string& address);
  void Cancel();
  // Starts the caller's answer with what has arrived; later bytes follow.
  void Forward();
  // The caller is gone; the rest of the answer is read but not written.
  void DiscardBody();
  // Ends the caller's answer. Only after on_end and Forward.
  void FinishAnswer();
  // Status of the target's answer; 0 before its header.
  int status_code();
  // Status, headers and body as kept for a repeat of a keyed request.
  StoredOutcome TakeOutcome();

 private:
  void OnHeaders(int status, const HttpHeaders& received);
  void OnBody(std::string bytes);
  void OnEnd(const TransferResult& end);
  void WriteLocked(std::string bytes);
  void OnWritten(std::size_t bytes);
  AttemptResult ResultLocked(const TransferResult& end);
  bool HasNoBody() const;
  // True if the answer is short enough to be held until it is whole.
  bool HoldsUntilWhole() const;

  const std::shared_ptr<Exchange> exchange;
  const TargetCall call;
  const MessageDialect& dialect;
  const Hooks hooks;

  std::mutex mutex;
  std::shared_ptr<Transfer> transfer;
  int status = 0;
  HttpHeaders headers;
  TargetAnswerFacts facts;
  std::optional<ContentDigest> digest;
  // Bytes held back until Forward.
  std::string held;
  // Bytes written to the responder that have not left yet.
  std::size_t unsent = 0;
  bool forwarding = false;
  // The answer has arrived whole.
  bool whole = false;
  // It is written in one piece, with its length.
  bool in_one_piece = false;
  bool discarding = false;
  bool paused = false;
  // Kept for a keyed request; dropped when it grows past the limit.
  std::optional<std::string> stored_body;
};

}  // namespace pimentopin

#pragma once

#include "Libraries/LibHost/http_dialect.h"

namespace pimentopin {

// The headers that pimentopin itself defines (docs/design.md, sections 7.3 and 7.4).
class NativeDialect : public HttpDialect {
 public:
  std::string CallerRequestId(const HttpHeaders& headers) const override;
  std::string_view CallerName(const HttpHeaders& headers) const override;
  bool NamesServiceInPath() const override { return true; }
  std::string_view CallerCredential(const HttpHeaders& headers) const override;
  std::string_view CallerDeadline(const HttpHeaders& headers) const override;
  int HostResponseStatus(int status, bool not_run) const override;
  std::string RetryAfterText(Duration delay) const override;
  bool AcceptsCloseDelimitedBody() const override { return false; }
  HttpHeaders TargetHeaders(const Exchange& exchange, const TargetAttempt& attempt) const override;
  std::string EchoedId(const Exchange& exchange, const TargetAttempt& attempt) const override;
  TargetResponseInfo InterpretResponse(const Exchange& exchange,
                                       const TargetAttempt& attempt,
                                       const TargetResponseHead& head) const override;
  TargetResponseInfo InterpretProbe(int status, const HttpHeaders& headers) const override;
};

}  // namespace pimentopin

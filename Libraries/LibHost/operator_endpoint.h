#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibHost/configuration_controller.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/metrics.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibHttp/http_server.h"
#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// HTTP server for operators: health checks, metrics, configuration, audit trail and drain.
class OperatorEndpoint {
 public:
  struct Settings {
    std::string address;
    std::string host_name;
    std::string domain_name;
    std::size_t max_configuration_bytes = 16 << 20;
    // Starts the graceful shutdown of this host.
    std::function<void()> on_drain;
    std::function<std::size_t()> requests_in_progress;
    // Whether this host has been told to stop, which the control thread may not have handled yet.
    // Callable from any thread.
    std::function<bool()> is_stopping;
  };

  static std::unique_ptr<OperatorEndpoint> Create(ControlLoop& loop,
                                                  SharedState& shared_state,
                                                  ConfigurationController& configuration,
                                                  ConfigurationStore& store,
                                                  ObjectStore& objects,
                                                  Metrics& metrics,
                                                  Settings settings,
                                                  Error& error);

  std::string address() const { return this->server->address(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  OperatorEndpoint(ControlLoop& loop,
                   SharedState& shared_state,
                   ConfigurationController& configuration,
                   ConfigurationStore& store,
                   ObjectStore& objects,
                   Metrics& metrics,
                   Settings settings);

  void HandleRequest(const HttpServerRequest& request, const Responder& responder);
  void HandleAdminRequest(const HttpServerRequest& request, const Responder& responder);
  void SendReadiness(const Responder& responder) const;
  void SendStatus(const Responder& responder) const;
  void SendConfiguration(const Responder& responder) const;
  void SendAuditTrail(const Responder& responder) const;
  void SendHistory(const HttpServerRequest& request, const Responder& responder);
  void SendSummaries(const HttpServerRequest& request, const Responder& responder);
  void ApplyConfiguration(const HttpServerRequest& request, const Responder& responder);
  void SendCommitResult(const std::string& content,
                        const CommitResult& result,
                        const Responder& responder) const;

  ControlLoop& loop;
  SharedState& shared_state;
  ConfigurationController& configuration;
  ConfigurationStore& store;
  ObjectStore& objects;
  Metrics& metrics;
  const Settings settings;
  std::unique_ptr<HttpServer> server;
};

}  // namespace pimentopin

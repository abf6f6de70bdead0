#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibHost/configuration_controller.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/metrics.h"
#include "Libraries/LibHttp/http_server.h"
#include "Libraries/LibPlatform/object_store.h"

namespace pimentopin {

// The operators' port: health, metrics, configuration, audit, drain.
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
  };

  static std::unique_ptr<OperatorEndpoint> Create(ControlLoop& loop,
                                                  Blackboard& board,
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
                   Blackboard& board,
                   ConfigurationController& configuration,
                   ConfigurationStore& store,
                   ObjectStore& objects,
                   Metrics& metrics,
                   Settings settings);

  void Handle(const HttpServerRequest& request, const Responder& responder);
  void HandleAdmin(const HttpServerRequest& request, const Responder& responder);
  void AnswerReadiness(const Responder& responder) const;
  void AnswerStatus(const Responder& responder) const;
  void AnswerConfiguration(const Responder& responder) const;
  void AnswerAudit(const Responder& responder) const;
  void AnswerHistory(const HttpServerRequest& request, const Responder& responder);
  void AnswerSummaries(const HttpServerRequest& request, const Responder& responder);
  void Apply(const HttpServerRequest& request, const Responder& responder);
  void AnswerCommit(const std::string& content,
                    const CommitResult& result,
                    const Responder& responder) const;

  ControlLoop& loop;
  Blackboard& board;
  ConfigurationController& configuration;
  ConfigurationStore& store;
  ObjectStore& objects;
  Metrics& metrics;
  const Settings settings;
  std::unique_ptr<HttpServer> server;
};

}  // namespace pimentopin

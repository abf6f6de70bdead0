#include "Libraries/LibHost/operator_endpoint.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibHost/query_parameters.h"
#include "Libraries/LibHost/summary_page.h"
#include "Libraries/LibHost/wall_clock.h"
#include "Libraries/LibReport/summary.h"

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;

void SendJson(const std::shared_ptr<HttpResponder>& responder, int status, const json& body) {
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

json MessageJson(const std::string& message) {
  return {{"message", message}};
}

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

std::string_view StateName(TargetState state) {
  switch (state) {
    case TargetState::kHealthy:
      return "healthy";
    case TargetState::kProbation:
      return "probation";
    case TargetState::kEjected:
      return "ejected";
    case TargetState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

json DocumentJson(const ConfigurationDocument& document) {
  return {{"revision", document.revision},
          {"base_revision", document.base_revision},
          {"change_id", document.change_id},
          {"author", document.author},
          {"committed_at_ms", document.committed_at_ms}};
}

json FindingsJson(const Findings& findings) {
  json entries = json::array();
  for (const Finding& finding : findings.all()) {
    entries.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return {{"findings", std::move(entries)}};
}

json MemberJson(const MemberRecord& member) {
  return {{"name", member.name}, {"address", member.address}, {"state", StateName(member.state)}};
}

json ServiceJson(const Configuration& configuration,
                 const Service& service,
                 const SharedState& shared_state) {
  const auto views = shared_state.views.Read();
  const ServiceView* view = nullptr;
  for (const ServiceView& candidate : *views) {
    if (candidate.service == service.id()) {
      view = &candidate;
    }
  }
  json targets = json::array();
  for (const Target* target : configuration.TargetsOf(service.name)) {
    json entry = {{"name", target->name}, {"address", target->address}, {"slots", target->slots}};
    const bool leaving = target->leaving || shared_state.leaving_targets.IsLeaving(target->id());
    entry["state"] = leaving ? "leaving" : "healthy";
    for (const TargetView& target_view :
         view == nullptr ? std::vector<TargetView>() : view->targets) {
      if (target_view.target == target->id()) {
        entry["usable_slots"] = target_view.usable_slots;
        entry["free_slots"] = target_view.free_slots;
        entry["state"] = leaving ? "leaving" : StateName(target_view.state);
      }
    }
    targets.push_back(std::move(entry));
  }
  return {{"name", service.name},
          {"queued", view == nullptr ? 0 : view->queued},
          {"targets", std::move(targets)}};
}

// Parses the body of a configuration change and adds all errors to `findings`.
ConfigurationDocument ReadApplyBody(const std::string& text, Findings& findings) {
  ConfigurationDocument document;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    findings.Add("", "the body is not a JSON object");
    return document;
  }
  const json base = body.value("base_revision", json());
  if (base.is_number_unsigned()) {
    document.base_revision = base.get<std::uint64_t>();
  } else {
    findings.Add("/base_revision", "must be a non-negative integer");
  }
  const auto read_text = [&](const char* field, std::string& value, std::size_t limit) {
    const json entry = body.value(field, json());
    if (!entry.is_string() || entry.get<std::string>().empty()) {
      findings.Add("/" + std::string(field), "must be a non-empty string");
    } else if (entry.get<std::string>().size() > limit) {
      findings.Add("/" + std::string(field), "is longer than " + std::to_string(limit) + " bytes");
    } else {
      value = entry.get<std::string>();
    }
  };
  read_text("author", document.author, kMaxNameBytes);
  read_text("change_id", document.change_id, kMaxNameBytes);
  read_text("content", document.content, ConfigurationLimits().max_bytes);
  constexpr std::string_view kChangeIdCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  if (document.change_id.find_first_not_of(kChangeIdCharacters) != std::string::npos) {
    findings.Add("/change_id", "may contain only letters, digits, '.', '_' and '-'");
  }
  document.committed_at_ms = WallClockMs();
  return document;
}

}  // namespace

std::unique_ptr<OperatorEndpoint> OperatorEndpoint::Create(ControlLoop& loop,
                                                           SharedState& shared_state,
                                                           ConfigurationController& configuration,
                                                           ConfigurationStore& store,
                                                           ObjectStore& objects,
                                                           Metrics& metrics,
                                                           Settings settings,
                                                           Error& error) {
  HttpServerSettings server_settings{.address = settings.address,
                                     .limits = {.max_body_bytes = settings.max_configuration_bytes},
                                     .max_concurrent_requests = 64,
                                     .max_held_body_bytes = 2 * settings.max_configuration_bytes};
  std::unique_ptr<OperatorEndpoint> endpoint(new OperatorEndpoint(
      loop, shared_state, configuration, store, objects, metrics, std::move(settings)));
  endpoint->server = HttpServer::Create(
      std::move(server_settings),
      [pointer = endpoint.get()](const HttpServerRequest& request, const Responder& responder) {
        pointer->HandleRequest(request, responder);
      },
      error);
  return endpoint->server ? std::move(endpoint) : nullptr;
}

OperatorEndpoint::OperatorEndpoint(ControlLoop& loop,
                                   SharedState& shared_state,
                                   ConfigurationController& configuration,
                                   ConfigurationStore& store,
                                   ObjectStore& objects,
                                   Metrics& metrics,
                                   Settings settings)
    : loop(loop),
      shared_state(shared_state),
      configuration(configuration),
      store(store),
      objects(objects),
      metrics(metrics),
      settings(std::move(settings)) {}

void OperatorEndpoint::HandleRequest(const HttpServerRequest& request, const Responder& responder) {
  if (request.path == "/healthz") {
    responder->Respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (request.path == "/readyz") {
    this->SendReadiness(responder);
  } else if (request.path == "/metrics") {
    this->metrics.SetCounter("pimentopin_log_lines_lost_total", "", LostLogLines());
    responder->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                       this->metrics.ToText());
  } else {
    // Admin requests access state of the control thread.
    this->loop.Post([this, request, responder] { this->HandleAdminRequest(request, responder); });
  }
}

void OperatorEndpoint::HandleAdminRequest(const HttpServerRequest& request,
                                          const Responder& responder) {
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (request.path == "/admin/v1/status" && is_get) {
    this->SendStatus(responder);
  } else if (request.path == "/admin/v1/configuration" && is_get) {
    this->SendConfiguration(responder);
  } else if (request.path == "/admin/v1/configuration" && is_post) {
    this->ApplyConfiguration(request, responder);
  } else if (request.path == "/admin/v1/history" && is_get) {
    this->SendHistory(request, responder);
  } else if (request.path == "/admin/v1/audit" && is_get) {
    this->SendAuditTrail(responder);
  } else if (request.path == "/admin/v1/summaries" && is_get) {
    this->SendSummaries(request, responder);
  } else if (request.path == "/admin/v1/drain" && is_post) {
    this->settings.on_drain();
    SendJson(responder, 200, {{"state", "leaving"}});
  } else {
    SendJson(responder, 404,
             MessageJson("unknown endpoint: " + request.method + " " + request.path));
  }
}

void OperatorEndpoint::SendReadiness(const Responder& responder) const {
  const auto readiness = this->shared_state.readiness.Read();
  Readiness current = readiness ? *readiness : Readiness{};
  current.shutting_down = current.shutting_down || this->settings.is_stopping();
  SendJson(responder, current.ready() ? 200 : 503,
           {{"ready", current.ready()},
            {"has_configuration", current.has_configuration},
            {"has_targets", current.has_targets},
            {"keys_unconfirmed", current.keys_unconfirmed},
            {"isolated", current.isolated},
            {"shutting_down", current.shutting_down}});
}

void OperatorEndpoint::SendStatus(const Responder& responder) const {
  const auto active_configuration = this->shared_state.configuration.Read();
  const auto members = this->shared_state.members.Read();
  json body = {{"name", this->settings.host_name},
               {"domain", this->settings.domain_name},
               {"version", PIMENTOPIN_VERSION},
               {"revision", active_configuration ? active_configuration->revision : 0},
               {"requests_in_progress", this->settings.requests_in_progress()},
               {"members", json::array()},
               {"services", json::array()}};
  for (const MemberRecord& member : *members) {
    body["members"].push_back(MemberJson(member));
  }
  if (active_configuration) {
    for (const Service& service : active_configuration->services) {
      body["services"].push_back(ServiceJson(*active_configuration, service, this->shared_state));
    }
  }
  SendJson(responder, 200, body);
}

void OperatorEndpoint::SendConfiguration(const Responder& responder) const {
  const auto document = this->shared_state.document.Read();
  if (!document) {
    SendJson(responder, 404, MessageJson("this host has no configuration yet"));
    return;
  }
  json body = DocumentJson(*document);
  body["content"] = document->content;
  SendJson(responder, 200, body);
}

void OperatorEndpoint::SendAuditTrail(const Responder& responder) const {
  json entries = json::array();
  for (const AuditEntry& entry : this->configuration.audit_trail().entries()) {
    entries.push_back({{"from_revision", entry.from_revision},
                       {"to_revision", entry.to_revision},
                       {"change_id", entry.change_id},
                       {"author", entry.author},
                       {"committed_at_ms", entry.committed_at_ms},
                       {"adopted_at_ms", entry.adopted_at_ms},
                       {"difference", json::parse(DifferenceToJson(entry.difference))}});
  }
  SendJson(responder, 200, {{"host", this->settings.host_name}, {"entries", std::move(entries)}});
}

void OperatorEndpoint::SendHistory(const HttpServerRequest& request, const Responder& responder) {
  const auto parameters = ParseQuery(request.query);
  const auto change = parameters.find("change");
  if (change == parameters.end() || change->second.empty()) {
    this->SendAuditTrail(responder);
    return;
  }
  const auto active_configuration = this->shared_state.configuration.Read();
  const std::uint64_t revision = active_configuration ? active_configuration->revision : 0;
  this->store.FindChange(
      change->second, [responder, revision](const auto& document, const Error& error) {
        if (error.code != ErrorCode::kNone) {
          SendJson(responder, 503, {{"outcome", "unknown"}, {"message", error.message}});
          return;
        }
        if (!document) {
          SendJson(responder, 404, {{"state", "not-committed"}, {"current_revision", revision}});
          return;
        }
        json body = DocumentJson(*document);
        body["state"] = "committed";
        SendJson(responder, 200, body);
      });
}

void OperatorEndpoint::SendSummaries(const HttpServerRequest& request, const Responder& responder) {
  const auto parameters = ParseQuery(request.query);
  const auto month = parameters.find("month");
  if (month == parameters.end() || !IsMonth(month->second)) {
    SendJson(responder, 400, MessageJson("parameter month must have the form YYYY-MM"));
    return;
  }
  const auto after = parameters.find("after");
  ReadSummaryPage(
      this->objects, month->second, after == parameters.end() ? "" : after->second,
      [responder](const auto& page, const Error& error) {
        if (!page) {
          SendJson(responder, 503, MessageJson(error.message));
          return;
        }
        json body = {{"summaries", json::array()}, {"next", page->next}};
        for (const StoredSummary& summary : page->summaries) {
          body["summaries"].push_back({{"key", summary.key}, {"content", summary.content}});
        }
        SendJson(responder, 200, body);
      });
}

void OperatorEndpoint::ApplyConfiguration(const HttpServerRequest& request,
                                          const Responder& responder) {
  if (!this->configuration.configuration_settings().accepts_commits) {
    SendJson(responder, 409,
             MessageJson("the configuration is written by the platform's operator"));
    return;
  }
  Findings findings;
  ConfigurationDocument document = ReadApplyBody(request.body.text(), findings);
  if (findings.empty()) {
    document.revision = document.base_revision + 1;
    this->configuration.configuration_settings().parser(document, findings);
  }
  if (!findings.empty()) {
    SendJson(responder, 422, FindingsJson(findings));
    return;
  }
  const std::string content = document.content;
  this->configuration.Commit(std::move(document),
                             [this, responder, content](const CommitResult& result) {
                               this->SendCommitResult(content, result, responder);
                             });
}

void OperatorEndpoint::SendCommitResult(const std::string& content,
                                        const CommitResult& result,
                                        const Responder& responder) const {
  switch (result.status) {
    case CommitStatus::kCommitted:
      SendJson(responder, 200, DocumentJson(*result.document));
      return;
    case CommitStatus::kNotCommitted:
      SendJson(responder, 503, {{"outcome", "not-run"}, {"message", result.message}});
      return;
    case CommitStatus::kUnknown:
      SendJson(responder, 503, {{"outcome", "unknown"}, {"message", result.message}});
      return;
    case CommitStatus::kConflict:
      break;
  }
  json body = {{"message", result.message}, {"difference", json::array()}};
  if (result.document) {
    body["conflict"] = DocumentJson(*result.document);
    body["conflict"]["current_revision"] = result.document->revision;
    Findings findings;
    const auto committed = ReadConfiguration(result.document->content, 0, findings);
    const auto requested = ReadConfiguration(content, 0, findings);
    if (committed && requested) {
      body["difference"] =
          json::parse(DifferenceToJson(CompareConfigurations(*committed, *requested)));
    }
  }
  SendJson(responder, 409, body);
}

}  // namespace pimentopin

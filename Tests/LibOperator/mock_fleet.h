#pragma once

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibOperator/admin_client.h"

namespace pimentopin {

// Injected fault of one request to a host.
enum class AdminFault {
  kNone,
  kUnreachable,
  // The request is lost; the client sees the same error as for a lost response.
  kLostRequest,
  kLostResponse,
  // The host's write to the table takes effect only after later requests.
  kDelayedWrite,
  kNotRun,
  // The write took effect, but the host reports that it does not know.
  kUnknownAfterWrite,
  kInternalError,
};

// Operator ports of a fleet with one shared table. Every host responds unless
// `next_fault` injects a fault.
class MockFleet : public AdminClient {
 public:
  struct Change {
    std::uint64_t revision = 0;
    std::uint64_t base_revision = 0;
    std::string change_id;
    std::string author;
    std::string content;
  };

  std::vector<Change> changes;
  std::vector<std::pair<std::string, AdminRequest>> requests;
  // Hosts do not detect a retry by its change id and check only its base revision.
  bool ignores_change_ids = false;
  // Chooses the fault of the next request; null means none.
  std::function<AdminFault(const std::string& host, const AdminRequest& request)> next_fault;
  // Responses by path; they replace those of the simulated fleet.
  std::vector<std::pair<std::string, AdminResponse>> fixed_responses;

  std::optional<AdminResponse> Send(const std::string& host,
                                    const AdminRequest& request,
                                    Error& error) override {
    this->requests.emplace_back(host, request);
    const AdminFault fault = this->next_fault ? this->next_fault(host, request) : AdminFault::kNone;
    switch (fault) {
      case AdminFault::kNone:
        return this->Execute(request);
      case AdminFault::kUnreachable:
        error = {ErrorCode::kUnreachable, host + ": connection refused"};
        return std::nullopt;
      case AdminFault::kLostRequest:
        error = {ErrorCode::kUnknownOutcome, host + ": no response"};
        return std::nullopt;
      case AdminFault::kLostResponse:
        this->Execute(request);
        error = {ErrorCode::kUnknownOutcome, host + ": no response"};
        return std::nullopt;
      case AdminFault::kDelayedWrite:
        this->delayed_writes.push_back(request);
        error = {ErrorCode::kUnknownOutcome, host + ": no response"};
        return std::nullopt;
      case AdminFault::kNotRun:
        return AdminResponse{503, R"({"outcome": "not-run"})"};
      case AdminFault::kUnknownAfterWrite:
        this->Execute(request);
        return AdminResponse{503, R"({"outcome": "unknown"})"};
      case AdminFault::kInternalError:
        return AdminResponse{500, "<html>"};
    }
    return std::nullopt;
  }

  void CommitCompetingChange(const std::string& content) {
    this->changes.push_back({.revision = this->revision() + 1,
                             .base_revision = this->revision(),
                             .change_id = "competing-" + std::to_string(this->changes.size()),
                             .author = "kojo",
                             .content = content});
  }

  // Executes the delayed writes in the order of their requests.
  void DeliverDelayedWrites() {
    for (const AdminRequest& request : std::exchange(this->delayed_writes, {})) {
      this->Execute(request);
    }
  }

  std::uint64_t revision() const {
    return this->changes.empty() ? 0 : this->changes.back().revision;
  }

  const Change* Find(const std::string& change_id) const {
    const auto found =
        std::find_if(this->changes.begin(), this->changes.end(),
                     [&](const Change& change) { return change.change_id == change_id; });
    return found == this->changes.end() ? nullptr : &*found;
  }

  std::size_t CountPosts() const {
    return static_cast<std::size_t>(
        std::count_if(this->requests.begin(), this->requests.end(),
                      [](const auto& sent) { return sent.second.method == "POST"; }));
  }

 private:
  using Json = nlohmann::json;

  AdminResponse Execute(const AdminRequest& request) {
    for (const auto& [path, response] : this->fixed_responses) {
      if (request.path == path) {
        return response;
      }
    }
    if (request.method == "POST" && request.path == "/admin/v1/configuration") {
      return this->Commit(Json::parse(request.body));
    }
    if (request.path == "/admin/v1/configuration") {
      return this->changes.empty() ? AdminResponse{404, "{}"}
                                   : AdminResponse{200, ChangeJson(this->changes.back()).dump()};
    }
    const std::string history = "/admin/v1/history?change=";
    if (request.path.starts_with(history)) {
      return this->History(request.path.substr(history.size()));
    }
    return {404, "{}"};
  }

  AdminResponse Commit(const Json& body) {
    const std::string change_id = body["change_id"];
    const Change* const existing = this->Find(change_id);
    if (existing != nullptr && !this->ignores_change_ids) {
      return {200, Json{{"revision", existing->revision}, {"change_id", change_id}}.dump()};
    }
    const std::string content = body["content"];
    Findings findings;
    const auto proposed = ReadConfiguration(content, 0, findings);
    if (!proposed) {
      Json list = Json::array();
      for (const Finding& finding : findings.all()) {
        list.push_back({{"place", finding.place}, {"message", finding.message}});
      }
      return {422, Json{{"findings", list}}.dump()};
    }
    if (body["base_revision"] != this->revision()) {
      return this->Conflict(*proposed);
    }
    this->changes.push_back({.revision = this->revision() + 1,
                             .base_revision = this->revision(),
                             .change_id = change_id,
                             .author = body["author"],
                             .content = content});
    return {200, Json{{"revision", this->revision()}, {"change_id", change_id}}.dump()};
  }

  AdminResponse Conflict(const Configuration& proposed) const {
    const Change& current = this->changes.back();
    Findings findings;
    const auto in_force = ReadConfiguration(current.content, 0, findings);
    const Json body{
        {"conflict",
         {{"current_revision", current.revision},
          {"author", current.author},
          {"change_id", current.change_id}}},
        {"difference", Json::parse(DifferenceToJson(CompareConfigurations(*in_force, proposed)))}};
    return {409, body.dump()};
  }

  AdminResponse History(const std::string& change_id) const {
    const Change* const existing = this->Find(change_id);
    if (existing == nullptr) {
      return {404, Json{{"state", "not-committed"}, {"current_revision", this->revision()}}.dump()};
    }
    Json body = ChangeJson(*existing);
    body["state"] = "committed";
    return {200, body.dump()};
  }

  static Json ChangeJson(const Change& change) {
    return {{"revision", change.revision},
            {"base_revision", change.base_revision},
            {"change_id", change.change_id},
            {"author", change.author},
            {"content", change.content}};
  }

  std::vector<AdminRequest> delayed_writes;
};

}  // namespace pimentopin

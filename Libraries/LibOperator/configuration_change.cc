#include "Libraries/LibOperator/configuration_change.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxChangeIdBytes = 64;

json ParseObject(const std::string& text) {
  json value = json::parse(text, nullptr, false);
  return value.is_object() ? value : json::object();
}

std::uint64_t GetUnsigned(const json& object, const char* field) {
  const json value = object.value(field, json());
  return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

std::string GetString(const json& object, const char* field) {
  const json value = object.value(field, json());
  return value.is_string() ? value.get<std::string>() : std::string();
}

std::string SerializeChange(const ConfigurationChange& change) {
  return json{{"base_revision", change.base_revision},
              {"change_id", change.change_id},
              {"author", change.author},
              {"content", change.content}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

ChangeResult CommittedResult(std::uint64_t revision) {
  return {.outcome = ChangeOutcome::kCommitted, .revision = revision};
}

ChangeResult ConflictResult(const json& body) {
  const json conflict = body.value("conflict", json::object());
  ChangeResult result{.outcome = ChangeOutcome::kConflict};
  if (conflict.is_object()) {
    result.current_revision = GetUnsigned(conflict, "current_revision");
    result.current_author = GetString(conflict, "author");
    result.current_change_id = GetString(conflict, "change_id");
  }
  result.difference = DifferenceFromJson(body.value("difference", json::array()).dump())
                          .value_or(ConfigurationDifference());
  return result;
}

ChangeResult InvalidResult(const json& body) {
  ChangeResult result{.outcome = ChangeOutcome::kInvalid};
  const json findings = body.value("findings", json::array());
  for (const json& finding : findings) {
    if (finding.is_object()) {
      result.findings.Add(GetString(finding, "place"), GetString(finding, "message"));
    }
  }
  return result;
}

// A 4xx status means that the host rejected the request without committing the
// change. Any other response that does not state the outcome counts as unknown,
// because the host may have committed the change before it failed.
ChangeResult ParseCommitResponse(const std::string& host, const AdminResponse& response) {
  const json body = ParseObject(response.body);
  const std::string reason = host + ": status " + std::to_string(response.status);
  switch (response.status) {
    case 200:
      if (GetUnsigned(body, "revision") > 0) {
        return CommittedResult(GetUnsigned(body, "revision"));
      }
      return {.outcome = ChangeOutcome::kUnknown, .reason = reason + " without a revision"};
    case 409:
      return ConflictResult(body);
    case 422:
      return InvalidResult(body);
    case 503:
      if (GetString(body, "outcome") == "not-run") {
        return {.outcome = ChangeOutcome::kNotRun, .reason = reason + ", not run"};
      }
      return {.outcome = ChangeOutcome::kUnknown, .reason = reason + ", outcome unknown"};
    default:
      return {.outcome = response.status >= 400 && response.status < 500 ? ChangeOutcome::kRejected
                                                                         : ChangeOutcome::kUnknown,
              .reason = reason};
  }
}

// Commits one change through any of several hosts. Once a request may have been
// executed, a later rejection does not prove that the change is not committed;
// only a statement about the change id settles the outcome.
class CommitOperation {
 public:
  CommitOperation(AdminSession& admin_session, const ConfigurationChange& configuration_change)
      : session(admin_session),
        change(configuration_change),
        body(SerializeChange(configuration_change)) {}

  ChangeResult Run(const std::function<void(Duration)>& sleep) {
    for (int round = 0; round < kMaxCommitRounds; ++round) {
      if (round > 0) {
        sleep(kCommitRoundDelay);
      }
      for (const std::string& host : this->session.hosts()) {
        const std::optional<ChangeResult> final_result = this->TryHost(host);
        if (final_result) {
          return *final_result;
        }
      }
      if (!this->may_have_run) {
        return {.outcome = ChangeOutcome::kNotRun, .reason = this->reasons};
      }
    }
    return this->ResolveOutcome({.outcome = ChangeOutcome::kUnknown, .reason = this->reasons});
  }

 private:
  // Returns std::nullopt if the next host should be tried.
  std::optional<ChangeResult> TryHost(const std::string& host) {
    Error error;
    const std::optional<AdminResponse> response =
        this->session.Post(host, "/admin/v1/configuration", this->body, error);
    if (!response) {
      this->AddReason(error.message);
      this->may_have_run = this->may_have_run || error.code != ErrorCode::kUnreachable;
      return std::nullopt;
    }
    const ChangeResult host_result = ParseCommitResponse(host, *response);
    switch (host_result.outcome) {
      case ChangeOutcome::kCommitted:
        return host_result;
      case ChangeOutcome::kUnknown:
        this->may_have_run = true;
        [[fallthrough]];
      case ChangeOutcome::kNotRun:
        this->AddReason(host_result.reason);
        return std::nullopt;
      case ChangeOutcome::kConflict:
        if (host_result.current_change_id == this->change.change_id) {
          return CommittedResult(host_result.current_revision);
        }
        return this->may_have_run ? this->ResolveOutcome(host_result) : host_result;
      case ChangeOutcome::kInvalid:
      case ChangeOutcome::kRejected:
        return this->may_have_run ? this->ResolveOutcome(host_result) : host_result;
    }
    return std::nullopt;
  }

  // Looks up the change in the history, because an earlier request may have
  // committed it before the current revision. `host_result` is the rejection by
  // the last host, or kUnknown after the last round. It is returned if the change
  // is not committed and no longer can be, with kConflict in place of kUnknown.
  ChangeResult ResolveOutcome(const ChangeResult& host_result) {
    const ChangeRecord record = FindChange(this->session, this->change.change_id);
    if (record.state == ChangeState::kCommitted) {
      return CommittedResult(record.revision);
    }
    // Each write is conditional on the base revision, so a delayed write cannot
    // take effect once the current revision is higher.
    const bool is_superseded =
        record.state == ChangeState::kNotCommitted && record.revision > this->change.base_revision;
    if (!is_superseded) {
      this->AddReason(record.reason);
      return {.outcome = ChangeOutcome::kUnknown, .reason = this->reasons};
    }
    if (host_result.outcome == ChangeOutcome::kUnknown) {
      return {.outcome = ChangeOutcome::kConflict, .current_revision = record.revision};
    }
    return host_result;
  }

  void AddReason(const std::string& reason) {
    if (!reason.empty() && this->reasons.find(reason) == std::string::npos) {
      this->reasons += (this->reasons.empty() ? "" : "; ") + reason;
    }
  }

  AdminSession& session;
  const ConfigurationChange& change;
  std::string body;
  bool may_have_run = false;
  std::string reasons;
};

}  // namespace

bool IsValidChangeId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxChangeIdBytes &&
         std::all_of(text.begin(), text.end(), [](char byte) {
           return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
                  (byte >= '0' && byte <= '9') || byte == '.' || byte == '_' || byte == '-';
         });
}

ChangeRecord FindChange(AdminSession& session, const std::string& change_id) {
  Error error;
  const auto response = session.Get("/admin/v1/history?change=" + change_id, error);
  if (!response) {
    return {.reason = error.message};
  }
  const json body = ParseObject(response->body);
  const std::string state = GetString(body, "state");
  if (response->status == 200 && state == "committed" && GetUnsigned(body, "revision") > 0) {
    return {.state = ChangeState::kCommitted,
            .revision = GetUnsigned(body, "revision"),
            .body = response->body};
  }
  if (response->status == 404 && state == "not-committed") {
    return {.state = ChangeState::kNotCommitted,
            .revision = GetUnsigned(body, "current_revision"),
            .body = response->body};
  }
  return {.reason = "history: status " + std::to_string(response->status)};
}

ChangeResult CommitChange(AdminSession& session,
                          const ConfigurationChange& change,
                          const std::function<void(Duration)>& sleep) {
  return CommitOperation(session, change).Run(sleep);
}

}  // namespace pimentopin

#include "Libraries/LibOperator/operator_commands.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibOperator/admin_session.h"
#include "Libraries/LibOperator/configuration_change.h"
#include "Libraries/LibReport/monthly_report.h"

namespace pimentopin {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::size_t kMaxAuthorBytes = 128;
// Ends the loop if a host always returns another page; a month of 7,900 hosts
// has far fewer pages.
constexpr int kMaxReportPages = 1'000'000;

std::string FormatJson(const ordered_json& value) {
  return value.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

// Text from a host may contain escape sequences that a terminal would interpret.
std::string ReplaceControlCharacters(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char byte) {
        return (static_cast<unsigned char>(byte) < 0x20 && byte != '\n' && byte != '\t') ||
               byte == 0x7f;
      },
      '?');
  return text;
}

std::string FormatScalar(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Formats objects as "key: value" lines and arrays with one element per line.
std::string FormatAsText(const ordered_json& value, const std::string& indent = "") {
  if (!value.is_structured()) {
    return indent + FormatScalar(value) + "\n";
  }
  std::string text;
  if (value.is_array()) {
    for (const ordered_json& element : value) {
      if (!element.is_structured()) {
        text += indent + "- " + FormatScalar(element) + "\n";
        continue;
      }
      std::string line;
      const bool is_flat = element.is_object() && std::none_of(element.begin(), element.end(),
                                                               [](const ordered_json& field) {
                                                                 return field.is_structured();
                                                               });
      if (!is_flat) {
        text += indent + "-\n" + FormatAsText(element, indent + "  ");
        continue;
      }
      for (const auto& item : element.items()) {
        line += (line.empty() ? "" : "  ") + item.key() + "=" + FormatScalar(item.value());
      }
      text += indent + "- " + line + "\n";
    }
    return text;
  }
  for (const auto& item : value.items()) {
    if (item.value().is_structured()) {
      text += indent + item.key() + ":\n" + FormatAsText(item.value(), indent + "  ");
    } else {
      text += indent + item.key() + ": " + FormatScalar(item.value()) + "\n";
    }
  }
  return text;
}

ordered_json FindingsToJson(const Findings& findings) {
  ordered_json list = ordered_json::array();
  for (const Finding& finding : findings.all()) {
    list.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return list;
}

std::string GetString(const json& object, const char* field) {
  const json value = object.value(field, json());
  return value.is_string() ? value.get<std::string>() : std::string();
}

// The configuration document that a host currently uses.
struct CurrentDocument {
  std::uint64_t revision = 0;
  std::string content;
  // The whole response of the host; fields that it lacks are not added.
  json body;
};

class CommandRunner {
 public:
  CommandRunner(const Settings& command_settings,
                AdminClient& admin_client,
                const OperatorHooks& operator_hooks)
      : settings(command_settings),
        session(admin_client, command_settings.List("host")),
        hooks(operator_hooks) {}

  CommandResult Validate() {
    const std::optional<std::string> content = this->ReadFileArgument();
    if (!content) {
      return this->result;
    }
    Findings findings;
    if (!ReadConfiguration(*content, 0, findings)) {
      return this->MakeInvalidResult(findings);
    }
    return this->MakeSuccess({{"valid", true}}, "valid\n");
  }

  CommandResult Apply() {
    const std::optional<std::string> content = this->ReadFileArgument();
    if (!content) {
      return this->result;
    }
    Findings findings;
    if (!ReadConfiguration(*content, 0, findings)) {
      return this->MakeInvalidResult(findings);
    }
    std::uint64_t base_revision = static_cast<std::uint64_t>(this->settings.Number("base"));
    if (!this->settings.Has("base")) {
      const std::optional<CurrentDocument> current = this->ReadCurrentDocument(true);
      if (!current) {
        return this->result;
      }
      base_revision = current->revision;
    }
    return this->Commit(base_revision, *content);
  }

  CommandResult Show() {
    const std::optional<CurrentDocument> current = this->ReadCurrentDocument(false);
    if (!current) {
      return this->result;
    }
    if (this->settings.Switch("json")) {
      return {.output = FormatJson(ordered_json(current->body))};
    }
    // Only the document goes to standard output, so that the output can be edited
    // and applied again.
    const std::string author = GetString(current->body, "author");
    const std::string change_id = GetString(current->body, "change_id");
    const bool ends_with_newline = !current->content.empty() && current->content.back() == '\n';
    return {
        .output = current->content + (ends_with_newline ? "" : "\n"),
        .error_output = ReplaceControlCharacters("revision " + std::to_string(current->revision) +
                                                 " by " + author + ", change " + change_id + "\n")};
  }

  CommandResult Diff() {
    const std::optional<std::string> content = this->ReadFileArgument();
    if (!content) {
      return this->result;
    }
    Findings findings;
    const auto proposed = ReadConfiguration(*content, 0, findings);
    if (!proposed) {
      return this->MakeInvalidResult(findings);
    }
    const std::optional<CurrentDocument> current = this->ReadCurrentDocument(true);
    if (!current) {
      return this->result;
    }
    Findings current_findings;
    const auto current_configuration =
        current->revision == 0 ? Configuration()
                               : ReadConfiguration(current->content, 0, current_findings);
    if (!current_configuration) {
      return this->MakeFailure(
          ExitCode::kInternalError,
          "the current document is not valid for this version of pimentopinctl:\n" +
              current_findings.ToText());
    }
    const ConfigurationDifference difference =
        CompareConfigurations(*current_configuration, *proposed);
    const std::string text = difference.empty() ? "no difference\n" : DifferenceToText(difference);
    return this->MakeSuccess({{"revision", current->revision},
                              {"difference", ordered_json::parse(DifferenceToJson(difference))}},
                             text);
  }

  CommandResult History() {
    if (!this->settings.Has("change")) {
      return this->ShowResponse("/admin/v1/history");
    }
    const std::string change = this->settings.Text("change");
    if (!IsValidChangeId(change)) {
      return this->MakeFailure(ExitCode::kUsage, "--change: must match [A-Za-z0-9._-]{1,64}");
    }
    const ChangeRecord record = FindChange(this->session, change);
    if (record.state == ChangeState::kUnknown) {
      return this->MakeFailure(ExitCode::kUnreachable, record.reason);
    }
    const ordered_json body = ordered_json::parse(record.body, nullptr, false);
    const std::string revision = std::to_string(record.revision);
    if (record.state == ChangeState::kCommitted) {
      return this->MakeSuccess(body,
                               "change " + change + " is committed as revision " + revision + "\n");
    }
    const bool is_superseded =
        this->settings.Has("base") &&
        record.revision > static_cast<std::uint64_t>(this->settings.Number("base"));
    CommandResult command_result = this->MakeSuccess(
        body,
        "change " + change + " is not committed; revision " + revision + " is current\n" +
            (is_superseded ? "it cannot be committed any more\n"
                           : "a delayed write may still commit it if it is based on revision " +
                                 revision + "; apply it again with the same change id\n"));
    command_result.code = is_superseded ? ExitCode::kConflict : ExitCode::kUnknownOutcome;
    return command_result;
  }

  CommandResult Audit() { return this->ShowResponse("/admin/v1/audit"); }
  CommandResult Status() { return this->ShowResponse("/admin/v1/status"); }

  CommandResult Drain() {
    return this->settings.positional().at(1) == "host" ? this->DrainHost() : this->DrainTarget();
  }

  CommandResult Report() {
    const std::string month = this->settings.Text("month");
    MonthlyReportBuilder builder(month);
    std::string after;
    for (int page = 0; page < kMaxReportPages; ++page) {
      Error error;
      const auto response = this->session.Get(
          "/admin/v1/summaries?month=" + month + (after.empty() ? "" : "&after=" + after), error);
      if (!response) {
        return this->MakeFailure(ExitCode::kUnreachable, error.message);
      }
      const json body = json::parse(response->body, nullptr, false);
      if (response->status != 200 || !body.is_object() ||
          !body.value("summaries", json()).is_array()) {
        return this->MakeFailure(ExitCode::kInternalError, "summaries: status " +
                                                               std::to_string(response->status) +
                                                               " without a list of summaries");
      }
      AddSummaries(body["summaries"], builder);
      const std::string next = GetString(body, "next");
      // Keys increase from page to page; any other key would repeat pages endlessly.
      if (next <= after) {
        break;
      }
      after = next;
    }
    const MonthlyReport report = builder.Build();
    return {.output =
                this->settings.Switch("json") ? ReportToJson(report) + "\n" : ReportToText(report)};
  }

 private:
  static void AddSummaries(const json& summaries, MonthlyReportBuilder& builder) {
    for (const json& entry : summaries) {
      const json content = entry.is_object() ? entry.value("content", json()) : json();
      builder.AddObject(entry.is_object() ? GetString(entry, "key") : "",
                        content.is_string() ? content.get<std::string>() : content.dump());
    }
  }

  CommandResult DrainHost() {
    if (this->session.hosts().size() != 1) {
      return this->MakeFailure(ExitCode::kUsage,
                               "drain host: requires exactly one --host, the host to drain");
    }
    Error error;
    const std::string& host = this->session.hosts().front();
    const auto response = this->session.Post(
        host, "/admin/v1/drain", json{{"author", this->settings.Text("author")}}.dump(), error);
    if (!response) {
      const bool is_unknown = error.code == ErrorCode::kUnknownOutcome;
      return this->MakeFailure(is_unknown ? ExitCode::kUnknownOutcome : ExitCode::kUnreachable,
                               error.message + (is_unknown ? "; see pimentopinctl status" : ""));
    }
    if (response->status != 200) {
      return this->MakeFailure(ExitCode::kInternalError,
                               host + ": status " + std::to_string(response->status));
    }
    return this->MakeSuccess({{"host", host}, {"state", "leaving"}},
                             host + " is leaving; it exits when its requests have completed\n");
  }

  CommandResult DrainTarget() {
    const std::string& name = this->settings.positional().at(2);
    const std::optional<CurrentDocument> current = this->ReadCurrentDocument(false);
    if (!current) {
      return this->result;
    }
    ordered_json document = ordered_json::parse(current->content, nullptr, false);
    ordered_json* const target = FindTarget(document, name);
    if (target == nullptr) {
      return this->MakeFailure(ExitCode::kUsage, "there is no target '" + name + "'");
    }
    if (target->value("leaving", ordered_json()) == true) {
      return this->MakeSuccess(
          {{"target", name}, {"leaving", true}, {"revision", current->revision}},
          "target " + name + " is already leaving in revision " +
              std::to_string(current->revision) + "\n");
    }
    (*target)["leaving"] = true;
    const std::uint64_t base_revision =
        this->settings.Has("base") ? static_cast<std::uint64_t>(this->settings.Number("base"))
                                   : current->revision;
    return this->Commit(base_revision, document.dump(2) + "\n");
  }

  static ordered_json* FindTarget(ordered_json& document, const std::string& name) {
    if (!document.is_object() || !document.contains("targets") || !document["targets"].is_array()) {
      return nullptr;
    }
    for (ordered_json& target : document["targets"]) {
      if (target.is_object() && target.value("name", ordered_json()) == name) {
        return &target;
      }
    }
    return nullptr;
  }

  CommandResult Commit(std::uint64_t base_revision, const std::string& content) {
    const ConfigurationChange change{.base_revision = base_revision,
                                     .change_id = this->settings.Has("change-id")
                                                      ? this->settings.Text("change-id")
                                                      : this->hooks.generate_change_id(),
                                     .author = this->settings.Text("author"),
                                     .content = content};
    // Printed before anything is sent, so that the operator can look up the change
    // even if this process is killed.
    this->hooks.print_notice("change " + change.change_id + " on revision " +
                             std::to_string(base_revision));
    return this->MakeChangeResult(change, CommitChange(this->session, change, this->hooks.sleep));
  }

  CommandResult MakeChangeResult(const ConfigurationChange& change,
                                 const ChangeResult& change_result) {
    switch (change_result.outcome) {
      case ChangeOutcome::kCommitted:
        return this->MakeSuccess(
            {{"revision", change_result.revision}, {"change_id", change.change_id}},
            "committed as revision " + std::to_string(change_result.revision) + "\n");
      case ChangeOutcome::kConflict:
        return this->MakeConflictResult(change, change_result);
      case ChangeOutcome::kInvalid:
        return this->MakeInvalidResult(change_result.findings);
      case ChangeOutcome::kNotRun:
        return this->MakeFailure(ExitCode::kUnreachable,
                                 "not run, nothing changed: " + change_result.reason,
                                 {{"outcome", "not-run"}, {"change_id", change.change_id}});
      case ChangeOutcome::kUnknown:
        return this->MakeFailure(
            ExitCode::kUnknownOutcome,
            "outcome unknown: " + change_result.reason +
                "\ncheck with: pimentopinctl history --change " + change.change_id + " --base " +
                std::to_string(change.base_revision) +
                "\nor repeat the command with: --change-id " + change.change_id + " --base " +
                std::to_string(change.base_revision),
            {{"outcome", "unknown"},
             {"change_id", change.change_id},
             {"base_revision", change.base_revision}});
      case ChangeOutcome::kRejected:
        return this->MakeFailure(ExitCode::kInternalError,
                                 "not run, the request was rejected: " + change_result.reason,
                                 {{"outcome", "not-run"}, {"change_id", change.change_id}});
    }
    return this->MakeFailure(ExitCode::kInternalError, "unhandled change outcome");
  }

  CommandResult MakeConflictResult(const ConfigurationChange& change,
                                   const ChangeResult& change_result) {
    std::string text = "conflict, nothing changed: revision " +
                       std::to_string(change_result.current_revision) + " is current, not " +
                       std::to_string(change.base_revision);
    if (!change_result.current_author.empty()) {
      text +=
          "; by " + change_result.current_author + ", change " + change_result.current_change_id;
    }
    text += "\n" + DifferenceToText(change_result.difference);
    const ordered_json body{
        {"conflict",
         {{"current_revision", change_result.current_revision},
          {"author", change_result.current_author},
          {"change_id", change_result.current_change_id}}},
        {"difference", ordered_json::parse(DifferenceToJson(change_result.difference))}};
    return this->MakeResult(ExitCode::kConflict, body, text);
  }

  CommandResult MakeInvalidResult(const Findings& findings) {
    return this->MakeResult(ExitCode::kInvalidConfiguration,
                            {{"findings", FindingsToJson(findings)}}, findings.ToText());
  }

  CommandResult MakeSuccess(const ordered_json& body, const std::string& text) {
    return this->MakeResult(ExitCode::kSuccess, body, text);
  }

  // With --json, every result goes to standard output, so that the output is
  // always a JSON document. As text, only a success goes there.
  CommandResult MakeResult(ExitCode code, const ordered_json& body, const std::string& text) {
    if (this->settings.Switch("json")) {
      return {.code = code, .output = FormatJson(body)};
    }
    const bool is_success = code == ExitCode::kSuccess;
    return {.code = code,
            .output = is_success ? ReplaceControlCharacters(text) : "",
            .error_output = is_success ? "" : ReplaceControlCharacters(text)};
  }

  CommandResult MakeFailure(ExitCode code, const std::string& message, ordered_json body = {}) {
    body["message"] = message;
    return this->MakeResult(code, {{"error", body}}, message + "\n");
  }

  CommandResult ShowResponse(const std::string& path) {
    Error error;
    const auto response = this->session.Get(path, error);
    if (!response) {
      return this->MakeFailure(ExitCode::kUnreachable, error.message);
    }
    const ordered_json body = ordered_json::parse(response->body, nullptr, false);
    if (response->status != 200 || body.is_discarded()) {
      return this->MakeFailure(ExitCode::kInternalError,
                               path + ": status " + std::to_string(response->status) +
                                   (body.is_discarded() ? " without JSON" : ""));
    }
    return this->MakeSuccess(body, body.empty() ? "(empty)\n" : FormatAsText(body));
  }

  // Returns std::nullopt and sets `result` on failure.
  std::optional<CurrentDocument> ReadCurrentDocument(bool treat_missing_as_empty) {
    Error error;
    const auto response = this->session.Get("/admin/v1/configuration", error);
    if (!response) {
      this->result = this->MakeFailure(ExitCode::kUnreachable, error.message);
      return std::nullopt;
    }
    if (response->status == 404 && treat_missing_as_empty) {
      return CurrentDocument{};
    }
    const json body = json::parse(response->body, nullptr, false);
    const bool is_document = response->status == 200 && body.is_object() &&
                             body.value("revision", json()).is_number_unsigned() &&
                             body.value("content", json()).is_string();
    if (!is_document) {
      this->result = this->MakeFailure(
          ExitCode::kInternalError, response->status == 404 ? "there is no current configuration"
                                                            : "configuration: status " +
                                                                  std::to_string(response->status) +
                                                                  " without a document");
      return std::nullopt;
    }
    return CurrentDocument{.revision = body["revision"], .content = body["content"], .body = body};
  }

  // Returns std::nullopt and sets `result` on failure.
  std::optional<std::string> ReadFileArgument() {
    Error error;
    auto content = this->hooks.read_file(this->settings.positional().at(1), error);
    if (!content) {
      this->result = this->MakeFailure(ExitCode::kUsage, error.message);
    }
    return content;
  }

  const Settings& settings;
  AdminSession session;
  const OperatorHooks& hooks;
  CommandResult result;
};

struct CommandDescription {
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  // Number of positional arguments, including the name of the command.
  std::size_t argument_count;
  bool needs_host;
  bool needs_author;
  CommandResult (CommandRunner::*run)();
  // Those of kCommandOptions that it uses.
  std::array<std::string_view, 2> options = {};
};

// Settings that only some of the commands use.
constexpr std::array<const char*, 4> kCommandOptions = {"base", "change-id", "change", "month"};

constexpr std::array kCommands{
    CommandDescription{"validate", "validate FILE",
                       "Report all errors in a document without contacting a host", 2, false, false,
                       &CommandRunner::Validate},
    CommandDescription{"apply",
                       "apply FILE",
                       "Commit a document as the next revision",
                       2,
                       true,
                       true,
                       &CommandRunner::Apply,
                       {"base", "change-id"}},
    CommandDescription{"show", "show", "Print the current document", 1, true, false,
                       &CommandRunner::Show},
    CommandDescription{"diff", "diff FILE", "Show the changes from the current document to FILE", 2,
                       true, false, &CommandRunner::Diff},
    CommandDescription{"history",
                       "history [--change ID]",
                       "List the revisions, or show the state of one change",
                       1,
                       true,
                       false,
                       &CommandRunner::History,
                       {"change", "base"}},
    CommandDescription{"audit", "audit", "List the audit records", 1, true, false,
                       &CommandRunner::Audit},
    CommandDescription{"status", "status", "Show the state of the fleet as seen by one host", 1,
                       true, false, &CommandRunner::Status},
    CommandDescription{"drain", "drain host", "Shut down the host at --host gracefully", 2, true,
                       true, &CommandRunner::Drain},
    CommandDescription{"drain",
                       "drain target NAME",
                       "Stop assigning new work to a target",
                       3,
                       true,
                       true,
                       &CommandRunner::Drain,
                       {"base", "change-id"}},
    CommandDescription{"report",
                       "report --month YYYY-MM",
                       "Print the monthly report per service",
                       1,
                       true,
                       false,
                       &CommandRunner::Report,
                       {"month"}}};

// Returns nullptr and adds a finding if the arguments match no command.
const CommandDescription* SelectCommand(const std::vector<std::string>& arguments,
                                        Findings& findings) {
  if (arguments.empty()) {
    findings.Add("command line", "a command is missing; see --help");
    return nullptr;
  }
  std::string usages;
  for (const CommandDescription& command : kCommands) {
    if (command.name != arguments[0]) {
      continue;
    }
    const bool is_drain = command.name == "drain";
    const bool is_match =
        command.argument_count == arguments.size() &&
        (!is_drain || arguments[1] == (arguments.size() == 2 ? "host" : "target"));
    if (is_match) {
      return &command;
    }
    usages += (usages.empty() ? "" : " or ") + std::string(command.usage);
  }
  findings.Add("command line", usages.empty() ? "unknown command '" + arguments[0] + "'; see --help"
                                              : "usage: pimentopinctl " + usages);
  return nullptr;
}

void CheckCommandSettings(const CommandDescription& command,
                          const Settings& settings,
                          Findings& findings) {
  if (command.needs_host && settings.List("host").empty()) {
    findings.Add("--host", "is required (or set PIMENTOPIN_HOST)");
  }
  const std::string author = settings.Text("author");
  if (command.needs_author && (author.empty() || author.size() > kMaxAuthorBytes)) {
    findings.Add("--author", author.empty()
                                 ? "is required (or set PIMENTOPIN_AUTHOR)"
                                 : "is longer than " + std::to_string(kMaxAuthorBytes) + " bytes");
  }
  for (const char* option : kCommandOptions) {
    const bool is_used =
        std::find(command.options.begin(), command.options.end(), option) != command.options.end();
    if (settings.Has(option) && !is_used) {
      findings.Add(std::string("--") + option, "has no effect with " + std::string(command.usage));
    }
  }
  if (command.name == "history" && settings.Has("base") && !settings.Has("change")) {
    findings.Add("--base", "has no effect without --change");
  }
  if (settings.Has("change-id") && !IsValidChangeId(settings.Text("change-id"))) {
    findings.Add("--change-id", "must match [A-Za-z0-9._-]{1,64}");
  }
  if (command.name == "report" && !IsMonth(settings.Text("month"))) {
    findings.Add("--month", "must be YYYY-MM");
  }
}

}  // namespace

std::vector<SettingDescription> OperatorSettings() {
  return {{.name = "host",
           .kind = SettingKind::kAddressList,
           .help = "Operator addresses of hosts, which are tried in order",
           .minimum = 1},
          {.name = "base",
           .kind = SettingKind::kNumber,
           .help = "Revision on which the change is based; default: the current one"},
          {.name = "author", .help = "Author of the change, for the audit record"},
          {.name = "change-id", .help = "Id of the change; default: a random id"},
          {.name = "change", .help = "Id of the change to look up in the history"},
          {.name = "month", .help = "Month of the report, YYYY-MM in UTC"},
          {.name = "timeout-ms",
           .kind = SettingKind::kNumber,
           .help = "Timeout of one request to a host",
           .unit = "milliseconds",
           .default_value = "10000",
           .minimum = 100,
           .maximum = 600'000},
          {.name = "json", .kind = SettingKind::kSwitch, .help = "Print JSON instead of text"}};
}

std::string CommandHelp() {
  std::string text;
  for (const CommandDescription& command : kCommands) {
    std::string usage(command.usage);
    usage.resize(std::max<std::size_t>(usage.size(), 24), ' ');
    text += "  " + usage + " " + std::string(command.help) + "\n";
  }
  return text;
}

CommandResult RunOperatorCommand(const Settings& settings,
                                 AdminClient& client,
                                 const OperatorHooks& hooks) {
  Findings findings;
  const CommandDescription* const command = SelectCommand(settings.positional(), findings);
  if (command != nullptr) {
    CheckCommandSettings(*command, settings, findings);
  }
  if (command == nullptr || !findings.empty()) {
    return {.code = ExitCode::kUsage, .error_output = ReplaceControlCharacters(findings.ToText())};
  }
  CommandRunner runner(settings, client, hooks);
  return (runner.*command->run)();
}

}  // namespace pimentopin

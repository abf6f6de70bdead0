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
// A month of 7,900 hosts has far fewer pages than this; a host that never ends
// its list must not keep the tool busy for ever.
constexpr int kMaxReportPages = 1'000'000;

std::string Dump(const ordered_json& value) {
  return value.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

// Text from a host may hold bytes that a terminal would interpret.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char byte) {
        return (static_cast<unsigned char>(byte) < 0x20 && byte != '\n' && byte != '\t') ||
               byte == 0x7f;
      },
      '?');
  return text;
}

std::string ScalarText(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Objects as "key: value" lines, lists with one element per line.
std::string JsonToText(const ordered_json& value, const std::string& indent = "") {
  if (!value.is_structured()) {
    return indent + ScalarText(value) + "\n";
  }
  std::string text;
  if (value.is_array()) {
    for (const ordered_json& element : value) {
      if (!element.is_structured()) {
        text += indent + "- " + ScalarText(element) + "\n";
        continue;
      }
      std::string line;
      const bool is_flat = element.is_object() && std::none_of(element.begin(), element.end(),
                                                               [](const ordered_json& field) {
                                                                 return field.is_structured();
                                                               });
      if (!is_flat) {
        text += indent + "-\n" + JsonToText(element, indent + "  ");
        continue;
      }
      for (const auto& item : element.items()) {
        line += (line.empty() ? "" : "  ") + item.key() + "=" + ScalarText(item.value());
      }
      text += indent + "- " + line + "\n";
    }
    return text;
  }
  for (const auto& item : value.items()) {
    if (item.value().is_structured()) {
      text += indent + item.key() + ":\n" + JsonToText(item.value(), indent + "  ");
    } else {
      text += indent + item.key() + ": " + ScalarText(item.value()) + "\n";
    }
  }
  return text;
}

ordered_json FindingsJson(const Findings& findings) {
  ordered_json list = ordered_json::array();
  for (const Finding& finding : findings.all()) {
    list.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return list;
}

std::string TextOf(const json& object, const char* field) {
  const json value = object.value(field, json());
  return value.is_string() ? value.get<std::string>() : std::string();
}

// The document that a host has in force.
struct DocumentInForce {
  std::uint64_t revision = 0;
  std::string content;
  // Absent fields of the answer stay absent.
  json body;
};

class Command {
 public:
  Command(const Settings& command_settings,
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
      return this->Invalid(findings);
    }
    return this->Succeed({{"valid", true}}, "valid\n");
  }

  CommandResult Apply() {
    const std::optional<std::string> content = this->ReadFileArgument();
    if (!content) {
      return this->result;
    }
    Findings findings;
    if (!ReadConfiguration(*content, 0, findings)) {
      return this->Invalid(findings);
    }
    std::uint64_t base = static_cast<std::uint64_t>(this->settings.Number("base"));
    if (!this->settings.Has("base")) {
      const std::optional<DocumentInForce> current = this->ReadInForce(true);
      if (!current) {
        return this->result;
      }
      base = current->revision;
    }
    return this->Commit(base, *content);
  }

  CommandResult Show() {
    const std::optional<DocumentInForce> current = this->ReadInForce(false);
    if (!current) {
      return this->result;
    }
    if (this->settings.Switch("json")) {
      return {.output = Dump(ordered_json(current->body))};
    }
    // The document alone goes to standard output, so that it can be edited and
    // applied again.
    const std::string author = TextOf(current->body, "author");
    const std::string change_id = TextOf(current->body, "change_id");
    const bool ends_line = !current->content.empty() && current->content.back() == '\n';
    return {.output = current->content + (ends_line ? "" : "\n"),
            .error_output = Printable("revision " + std::to_string(current->revision) + " by " +
                                      author + ", change " + change_id + "\n")};
  }

  CommandResult Diff() {
    const std::optional<std::string> content = this->ReadFileArgument();
    if (!content) {
      return this->result;
    }
    Findings findings;
    const auto proposed = ReadConfiguration(*content, 0, findings);
    if (!proposed) {
      return this->Invalid(findings);
    }
    const std::optional<DocumentInForce> current = this->ReadInForce(true);
    if (!current) {
      return this->result;
    }
    Findings current_findings;
    const auto in_force = current->revision == 0
                              ? Configuration()
                              : ReadConfiguration(current->content, 0, current_findings);
    if (!in_force) {
      return this->Fail(ExitCode::kInternalError,
                        "the document in force is not valid for this version of the tool:\n" +
                            current_findings.ToText());
    }
    const ConfigurationDifference difference = CompareConfigurations(*in_force, *proposed);
    const std::string text = difference.empty() ? "no difference\n" : DifferenceToText(difference);
    return this->Succeed({{"revision", current->revision},
                          {"difference", ordered_json::parse(DifferenceToJson(difference))}},
                         text);
  }

  CommandResult History() {
    if (!this->settings.Has("change")) {
      return this->ShowBody("/admin/v1/history");
    }
    const std::string change = this->settings.Text("change");
    if (!IsChangeId(change)) {
      return this->Fail(ExitCode::kUsage, "--change: must match [A-Za-z0-9._-]{1,64}");
    }
    const ChangeRecord record = FindChange(this->session, change);
    if (record.state == ChangeState::kUnknown) {
      return this->Fail(ExitCode::kUnreachable, record.reason);
    }
    const ordered_json body = ordered_json::parse(record.body, nullptr, false);
    const std::string revision = std::to_string(record.revision);
    if (record.state == ChangeState::kCommitted) {
      return this->Succeed(body,
                           "change " + change + " is committed as revision " + revision + "\n");
    }
    const bool is_overtaken =
        this->settings.Has("base") &&
        record.revision > static_cast<std::uint64_t>(this->settings.Number("base"));
    CommandResult answer = this->Succeed(
        body,
        "change " + change + " is not committed; revision " + revision + " is in force\n" +
            (is_overtaken ? "it cannot be committed any more\n"
                          : "a delayed write may still commit it if it is based on revision " +
                                revision + "; apply it again with the same change id\n"));
    answer.code = is_overtaken ? ExitCode::kConflict : ExitCode::kUnknownOutcome;
    return answer;
  }

  CommandResult Audit() { return this->ShowBody("/admin/v1/audit"); }
  CommandResult Status() { return this->ShowBody("/admin/v1/status"); }

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
        return this->Fail(ExitCode::kUnreachable, error.message);
      }
      const json body = json::parse(response->body, nullptr, false);
      if (response->status != 200 || !body.is_object() ||
          !body.value("summaries", json()).is_array()) {
        return this->Fail(ExitCode::kInternalError, "summaries: status " +
                                                        std::to_string(response->status) +
                                                        " without a list of summaries");
      }
      AddSummaries(body["summaries"], builder);
      const std::string next = TextOf(body, "next");
      // Keys rise from page to page; anything else would repeat pages for ever.
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
      builder.AddObject(entry.is_object() ? TextOf(entry, "key") : "",
                        content.is_string() ? content.get<std::string>() : content.dump());
    }
  }

  CommandResult DrainHost() {
    if (this->session.hosts().size() != 1) {
      return this->Fail(ExitCode::kUsage, "drain host: needs exactly one --host, the one to drain");
    }
    Error error;
    const std::string& host = this->session.hosts().front();
    const auto response = this->session.Post(
        host, "/admin/v1/drain", json{{"author", this->settings.Text("author")}}.dump(), error);
    if (!response) {
      const bool is_unknown = error.code == ErrorCode::kUnknownOutcome;
      return this->Fail(is_unknown ? ExitCode::kUnknownOutcome : ExitCode::kUnreachable,
                        error.message + (is_unknown ? "; see pimentopinctl status" : ""));
    }
    if (response->status != 200) {
      return this->Fail(ExitCode::kInternalError,
                        host + ": status " + std::to_string(response->status));
    }
    return this->Succeed({{"host", host}, {"state", "leaving"}},
                         host + " is leaving; it exits when its requests have completed\n");
  }

  CommandResult DrainTarget() {
    const std::string& name = this->settings.positional().at(2);
    const std::optional<DocumentInForce> current = this->ReadInForce(false);
    if (!current) {
      return this->result;
    }
    ordered_json document = ordered_json::parse(current->content, nullptr, false);
    ordered_json* const target = FindTarget(document, name);
    if (target == nullptr) {
      return this->Fail(ExitCode::kUsage, "there is no target '" + name + "'");
    }
    if (target->value("leaving", ordered_json()) == true) {
      return this->Succeed({{"target", name}, {"leaving", true}, {"revision", current->revision}},
                           "target " + name + " is already leaving in revision " +
                               std::to_string(current->revision) + "\n");
    }
    (*target)["leaving"] = true;
    return this->Commit(current->revision, document.dump(2) + "\n");
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

  CommandResult Commit(std::uint64_t base, const std::string& content) {
    const ConfigurationChange change{.base_revision = base,
                                     .change_id = this->settings.Has("change-id")
                                                      ? this->settings.Text("change-id")
                                                      : this->hooks.new_change_id(),
                                     .author = this->settings.Text("author"),
                                     .content = content};
    // Known before anything is sent, so that it can be asked for whatever
    // happens to this process.
    this->hooks.notice("change " + change.change_id + " on revision " + std::to_string(base));
    return this->ReportChange(change, CommitChange(this->session, change, this->hooks.wait));
  }

  CommandResult ReportChange(const ConfigurationChange& change, const ChangeResult& answer) {
    switch (answer.outcome) {
      case ChangeOutcome::kCommitted:
        return this->Succeed({{"revision", answer.revision}, {"change_id", change.change_id}},
                             "committed as revision " + std::to_string(answer.revision) + "\n");
      case ChangeOutcome::kConflict:
        return this->Conflict(change, answer);
      case ChangeOutcome::kInvalid:
        return this->Invalid(answer.findings);
      case ChangeOutcome::kNotRun:
        return this->Fail(ExitCode::kUnreachable, "not run, nothing changed: " + answer.reason,
                          {{"outcome", "not-run"}, {"change_id", change.change_id}});
      case ChangeOutcome::kUnknown:
        return this->Fail(ExitCode::kUnknownOutcome,
                          "outcome unknown: " + answer.reason +
                              "\nask with: pimentopinctl history --change " + change.change_id +
                              " --base " + std::to_string(change.base_revision) +
                              "\nor repeat the command with: --change-id " + change.change_id +
                              " --base " + std::to_string(change.base_revision),
                          {{"outcome", "unknown"},
                           {"change_id", change.change_id},
                           {"base_revision", change.base_revision}});
      case ChangeOutcome::kRejected:
        return this->Fail(ExitCode::kInternalError,
                          "not run, the request was rejected: " + answer.reason,
                          {{"outcome", "not-run"}, {"change_id", change.change_id}});
    }
    return this->Fail(ExitCode::kInternalError, "no outcome");
  }

  CommandResult Conflict(const ConfigurationChange& change, const ChangeResult& answer) {
    std::string text = "conflict, nothing changed: revision " +
                       std::to_string(answer.current_revision) + " is in force, not " +
                       std::to_string(change.base_revision);
    if (!answer.current_author.empty()) {
      text += "; by " + answer.current_author + ", change " + answer.current_change_id;
    }
    text += "\n" + DifferenceToText(answer.difference);
    const ordered_json body{
        {"conflict",
         {{"current_revision", answer.current_revision},
          {"author", answer.current_author},
          {"change_id", answer.current_change_id}}},
        {"difference", ordered_json::parse(DifferenceToJson(answer.difference))}};
    return this->Answer(ExitCode::kConflict, body, text);
  }

  CommandResult Invalid(const Findings& findings) {
    return this->Answer(ExitCode::kInvalidConfiguration, {{"findings", FindingsJson(findings)}},
                        findings.ToText());
  }

  CommandResult Succeed(const ordered_json& body, const std::string& text) {
    return this->Answer(ExitCode::kSuccess, body, text);
  }

  // Results go to standard output, so that --json gives a document in each
  // case; in text, what is not a success goes to standard error.
  CommandResult Answer(ExitCode code, const ordered_json& body, const std::string& text) {
    if (this->settings.Switch("json")) {
      return {.code = code, .output = Dump(body)};
    }
    const bool is_result = code == ExitCode::kSuccess;
    return {.code = code,
            .output = is_result ? Printable(text) : "",
            .error_output = is_result ? "" : Printable(text)};
  }

  CommandResult Fail(ExitCode code, const std::string& message, ordered_json body = {}) {
    body["message"] = message;
    return this->Answer(code, {{"error", body}}, message + "\n");
  }

  CommandResult ShowBody(const std::string& path) {
    Error error;
    const auto response = this->session.Get(path, error);
    if (!response) {
      return this->Fail(ExitCode::kUnreachable, error.message);
    }
    const ordered_json body = ordered_json::parse(response->body, nullptr, false);
    if (response->status != 200 || body.is_discarded()) {
      return this->Fail(ExitCode::kInternalError, path + ": status " +
                                                      std::to_string(response->status) +
                                                      (body.is_discarded() ? " without JSON" : ""));
    }
    return this->Succeed(body, body.empty() ? "(empty)\n" : JsonToText(body));
  }

  // Absent with `result` set on failure.
  std::optional<DocumentInForce> ReadInForce(bool none_is_revision_zero) {
    Error error;
    const auto response = this->session.Get("/admin/v1/configuration", error);
    if (!response) {
      this->result = this->Fail(ExitCode::kUnreachable, error.message);
      return std::nullopt;
    }
    if (response->status == 404 && none_is_revision_zero) {
      return DocumentInForce{};
    }
    const json body = json::parse(response->body, nullptr, false);
    const bool is_document = response->status == 200 && body.is_object() &&
                             body.value("revision", json()).is_number_unsigned() &&
                             body.value("content", json()).is_string();
    if (!is_document) {
      this->result = this->Fail(ExitCode::kInternalError,
                                response->status == 404
                                    ? "no configuration is in force"
                                    : "configuration: status " + std::to_string(response->status) +
                                          " without a document");
      return std::nullopt;
    }
    return DocumentInForce{.revision = body["revision"], .content = body["content"], .body = body};
  }

  std::optional<std::string> ReadFileArgument() {
    Error error;
    auto content = this->hooks.read_file(this->settings.positional().at(1), error);
    if (!content) {
      this->result = this->Fail(ExitCode::kUsage, error.message);
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
  // Positional arguments with the command itself.
  std::size_t arguments;
  bool needs_host;
  bool needs_author;
  CommandResult (Command::*run)();
};

constexpr std::array kCommands{
    CommandDescription{"validate", "validate FILE",
                       "Report all faults of a document; needs no host", 2, false, false,
                       &Command::Validate},
    CommandDescription{"apply", "apply FILE", "Commit a document as the next revision", 2, true,
                       true, &Command::Apply},
    CommandDescription{"show", "show", "Print the document in force", 1, true, false,
                       &Command::Show},
    CommandDescription{"diff", "diff FILE", "Changes from the document in force to FILE", 2, true,
                       false, &Command::Diff},
    CommandDescription{"history", "history [--change ID]", "Revisions, or the fate of one change",
                       1, true, false, &Command::History},
    CommandDescription{"audit", "audit", "Who changed what, and when", 1, true, false,
                       &Command::Audit},
    CommandDescription{"status", "status", "State of the fleet as a host sees it", 1, true, false,
                       &Command::Status},
    CommandDescription{"drain", "drain host", "Shut down the host at --host gracefully", 2, true,
                       true, &Command::Drain},
    CommandDescription{"drain", "drain target NAME", "Give a target no new work", 3, true, true,
                       &Command::Drain},
    CommandDescription{"report", "report --month YYYY-MM", "Monthly report per service", 1, true,
                       false, &Command::Report}};

// Null with findings if the arguments name no command.
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
    const bool fits = command.arguments == arguments.size() &&
                      (!is_drain || arguments[1] == (arguments.size() == 2 ? "host" : "target"));
    if (fits) {
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
  if (settings.Has("change-id") && !IsChangeId(settings.Text("change-id"))) {
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
           .help = "Operator port of a host; more are tried in turn",
           .minimum = 1},
          {.name = "base",
           .kind = SettingKind::kNumber,
           .help = "Revision that the change builds on; without it, the one in force"},
          {.name = "author", .help = "Who makes the change, for the audit record"},
          {.name = "change-id", .help = "Id of the change; without it, a random one"},
          {.name = "change", .help = "Id of the change to look for in the history"},
          {.name = "month", .help = "Month of the report, YYYY-MM in UTC"},
          {.name = "timeout-ms",
           .kind = SettingKind::kNumber,
           .help = "Time for one exchange with a host",
           .unit = "milliseconds",
           .default_value = "10000",
           .minimum = 100,
           .maximum = 600'000},
          {.name = "json", .kind = SettingKind::kSwitch, .help = "Print JSON in place of text"}};
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
    return {.code = ExitCode::kUsage, .error_output = Printable(findings.ToText())};
  }
  Command runner(settings, client, hooks);
  return (runner.*command->run)();
}

}  // namespace pimentopin

#include "Libraries/LibOperator/operator_commands.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Libraries/LibOperator/configuration_change.h"
#include "Libraries/LibReport/summary_recorder.h"
#include "Tests/LibConfig/documents.h"
#include "Tests/LibOperator/mock_fleet.h"
#include "Tests/property.h"

namespace pimentopin {
namespace {

using nlohmann::json;

class OperatorCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCommandsTest);
  CPPUNIT_TEST(TestUsageErrors);
  CPPUNIT_TEST(TestOptionOfAnotherCommandIsIgnored);
  CPPUNIT_TEST(TestDrainOfTargetIgnoresTheBase);
  CPPUNIT_TEST(TestValidate);
  CPPUNIT_TEST(TestApply);
  CPPUNIT_TEST(TestApplyPrintsChangeIdBeforeSending);
  CPPUNIT_TEST(TestApplyFirstConfiguration);
  CPPUNIT_TEST(TestConflictShowsDifference);
  CPPUNIT_TEST(TestLostResponseIsRetriedWithSameResult);
  CPPUNIT_TEST(TestLostResponseFollowedByCompetingChange);
  CPPUNIT_TEST(TestLostRequestFollowedByCompetingChange);
  CPPUNIT_TEST(TestUnknownOutcome);
  CPPUNIT_TEST(TestUnreachableHosts);
  CPPUNIT_TEST(TestNotRun);
  CPPUNIT_TEST(TestServerFindingsAreReported);
  CPPUNIT_TEST(TestAmbiguousResponsesAreUnknown);
  CPPUNIT_TEST(TestRejectedRequest);
  CPPUNIT_TEST(TestShowAndDiff);
  CPPUNIT_TEST(TestHistory);
  CPPUNIT_TEST(TestAuditAndStatus);
  CPPUNIT_TEST(TestDrainTarget);
  CPPUNIT_TEST(TestDrainHost);
  CPPUNIT_TEST(TestReportReadsEachSummaryOnce);
  CPPUNIT_TEST(TestReportNeedsAllPages);
  CPPUNIT_TEST(TestExitCodeIsCorrectUnderFaults);
  CPPUNIT_TEST(TestMalformedResponses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->fleet = std::make_unique<MockFleet>();
    this->notices.clear();
    this->posts_at_notice = 0;
    this->file = documents::Valid().dump();
    this->sleep_count = 0;
  }

  // Guards against a command that runs although arguments or flags are missing.
  void TestUsageErrors() {
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases{
        {{}, "command line: a command is missing; see --help\n"},
        {{"aply"}, "command line: unknown command 'aply'; see --help\n"},
        {{"apply"}, "command line: usage: pimentopinctl apply FILE\n"},
        {{"drain"}, "command line: usage: pimentopinctl drain host or drain target NAME\n"},
        {{"drain", "target"},
         "command line: usage: pimentopinctl drain host or drain target NAME\n"},
        {{"show", "extra"}, "command line: usage: pimentopinctl show\n"},
        {{"apply", "f", "--change-id=a/b"},
         "--host: is required (or set PIMENTOPIN_HOST)\n"
         "--author: is required (or set PIMENTOPIN_AUTHOR)\n"
         "--change-id: must match [A-Za-z0-9._-]{1,64}\n"},
        {{"report", "--host=127.0.0.1:1", "--month=2026-13"}, "--month: must be YYYY-MM\n"}};
    for (const auto& [arguments, expected] : cases) {
      const CommandResult result = this->RunWithoutDefaults(arguments);
      CPPUNIT_ASSERT_EQUAL(expected, result.error_output);
      CPPUNIT_ASSERT(result.code == ExitCode::kUsage);
    }
    CPPUNIT_ASSERT(this->fleet->requests.empty());
  }

  // Guards against an option that an operator relies on and that has no effect, such as a change id
  // without which a repeated command commits a second change.
  void TestOptionOfAnotherCommandIsIgnored() {
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases{
        {{"apply", "f", "--change=mine", "--month=2026-12"},
         "--change: has no effect with apply FILE\n--month: has no effect with apply FILE\n"},
        {{"history", "--change-id=mine"},
         "--change-id: has no effect with history [--change ID]\n"},
        {{"history", "--base=1"}, "--base: has no effect without --change\n"},
        {{"drain", "host", "--base=1"}, "--base: has no effect with drain host\n"},
        {{"diff", "f", "--base=1"}, "--base: has no effect with diff FILE\n"},
        {{"report", "--month=2026-12", "--change=mine"},
         "--change: has no effect with report --month YYYY-MM\n"}};
    for (const auto& [arguments, expected] : cases) {
      const CommandResult result = this->Run(arguments);
      CPPUNIT_ASSERT_EQUAL(expected, result.error_output);
      CPPUNIT_ASSERT(result.code == ExitCode::kUsage);
    }
    CPPUNIT_ASSERT(this->fleet->requests.empty());
  }

  // Guards against a drain that is committed on another revision than the operator named.
  void TestDrainOfTargetIgnoresTheBase() {
    for (const char* change : {"--change-id=first", "--change-id=second"}) {
      CPPUNIT_ASSERT(this->Run({"apply", "f", change}).code == ExitCode::kSuccess);
    }
    const CommandResult on_old_base = this->Run({"drain", "target", "parts-2", "--base=1"});
    CPPUNIT_ASSERT_EQUAL(std::string(), on_old_base.output);
    CPPUNIT_ASSERT(on_old_base.code == ExitCode::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->fleet->revision());
    CPPUNIT_ASSERT(this->Run({"drain", "target", "parts-2", "--base=2"}).code ==
                   ExitCode::kSuccess);
  }

  void TestValidate() {
    CPPUNIT_ASSERT((CommandResult{.output = "valid\n"}) ==
                   this->RunWithoutDefaults({"validate", "f"}));
    this->file = "{}";
    const CommandResult text = this->RunWithoutDefaults({"validate", "f"});
    CPPUNIT_ASSERT(text.code == ExitCode::kInvalidConfiguration);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{5},
                         std::count(text.error_output.begin(), text.error_output.end(), '\n'));
    const CommandResult result = this->RunWithoutDefaults({"validate", "f", "--json"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, json::parse(result.output)["findings"].size());
    this->file.reset();
    CPPUNIT_ASSERT(this->RunWithoutDefaults({"validate", "f"}).code == ExitCode::kUsage);
  }

  void TestApply() {
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    this->file = ChangedDocument().dump();
    const CommandResult result = this->Run({"apply", "f"});
    CPPUNIT_ASSERT((CommandResult{.output = "committed as revision 2\n"}) == result);
    const MockFleet::Change& change = this->fleet->changes.back();
    CPPUNIT_ASSERT_EQUAL(std::string("ama"), change.author);
    CPPUNIT_ASSERT_EQUAL(std::string("generated-1"), change.change_id);
    CPPUNIT_ASSERT_EQUAL(*this->file, change.content);
    const CommandResult as_json = this->Run({"apply", "f", "--json", "--change-id=mine"});
    const json expected{{"revision", 3}, {"change_id", "mine"}};
    CPPUNIT_ASSERT(expected == json::parse(as_json.output));
  }

  // Guards against a change that the operator cannot look up because the process
  // ended before it printed the change id.
  void TestApplyPrintsChangeIdBeforeSending() {
    this->Run({"apply", "f"});
    CPPUNIT_ASSERT_EQUAL(std::string("change generated-1 on revision 0"), this->notices.at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->posts_at_notice);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->fleet->CountPosts());
  }

  void TestApplyFirstConfiguration() {
    CPPUNIT_ASSERT(this->Run({"apply", "f"}).code == ExitCode::kSuccess);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->fleet->changes[0].base_revision);
  }

  // Guards against one of two concurrent operators overwriting the other's change.
  void TestConflictShowsDifference() {
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    this->file = ChangedDocument().dump();
    const CommandResult text = this->Run({"apply", "f", "--base=1"});
    CPPUNIT_ASSERT(text.code == ExitCode::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("conflict, nothing changed: revision 2 is current, not 1; "
                                     "by kojo, change competing-1\n"
                                     "~ target parts-1 slots: 3 -> 4\n"),
                         text.error_output);
    const CommandResult result = this->Run({"apply", "f", "--base=1", "--json"});
    const json body = json::parse(result.output);
    CPPUNIT_ASSERT_EQUAL(2, body["conflict"]["current_revision"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("slots"), body["difference"][0]["field"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->fleet->revision());
  }

  // Guards against a second revision, or a conflict of the change with itself,
  // when the response to a successful commit is lost and the request is retried.
  void TestLostResponseIsRetriedWithSameResult() {
    for (const AdminFault fault : {AdminFault::kLostResponse, AdminFault::kUnknownAfterWrite}) {
      this->setUp();
      this->InjectPostFaults({fault});
      const CommandResult result = this->Run({"apply", "f"});
      CPPUNIT_ASSERT((CommandResult{.output = "committed as revision 1\n"}) == result);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->fleet->CountPosts());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->fleet->changes.size());
    }
  }

  // Guards against reporting a conflict for a committed change. It comes about if
  // the response is lost, another change follows, and the host that receives the
  // retry does not recognise the change id.
  void TestLostResponseFollowedByCompetingChange() {
    this->fleet->next_fault = [&](const std::string&, const AdminRequest& request) {
      if (request.method == "POST" && this->fleet->CountPosts() == 1) {
        return AdminFault::kLostResponse;
      }
      if (request.method == "POST") {
        this->fleet->CommitCompetingChange(documents::Valid().dump());
        this->fleet->fixed_responses = {
            {"/admin/v1/configuration", {409, R"({"conflict": {"current_revision": 2}})"}}};
      }
      return AdminFault::kNone;
    };
    const CommandResult result = this->Run({"apply", "f"});
    CPPUNIT_ASSERT((CommandResult{.output = "committed as revision 1\n"}) == result);
  }

  // Guards against reporting success or an unknown outcome for a lost request
  // that can no longer be committed, because another change has its revision.
  void TestLostRequestFollowedByCompetingChange() {
    this->fleet->next_fault = [&](const std::string&, const AdminRequest& request) {
      if (request.method == "POST" && this->fleet->CountPosts() == 1) {
        this->fleet->CommitCompetingChange(documents::Valid().dump());
        return AdminFault::kLostRequest;
      }
      return AdminFault::kNone;
    };
    CPPUNIT_ASSERT(this->Run({"apply", "f"}).code == ExitCode::kConflict);
    CPPUNIT_ASSERT(this->fleet->Find("generated-1") == nullptr);
  }

  // Guards against reporting success or failure when the outcome is unknown, and
  // against a message that does not say how to look up the change.
  void TestUnknownOutcome() {
    this->fleet->next_fault = [&](const std::string&, const AdminRequest& request) {
      return request.method == "POST" ? AdminFault::kLostRequest : AdminFault::kNone;
    };
    const CommandResult result = this->Run({"apply", "f"});
    CPPUNIT_ASSERT(result.code == ExitCode::kUnknownOutcome);
    CPPUNIT_ASSERT(
        Contains(result.error_output, "pimentopinctl history --change generated-1 --base 0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, this->fleet->CountPosts());
    CPPUNIT_ASSERT_EQUAL(2, this->sleep_count);
    const json body = json::parse(this->Run({"apply", "f", "--json"}).output);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), body["error"]["outcome"].get<std::string>());
  }

  // Guards against a command that fails although another host responds.
  void TestUnreachableHosts() {
    this->fleet->next_fault = [](const std::string& host, const AdminRequest&) {
      return host == "127.0.0.1:1" ? AdminFault::kUnreachable : AdminFault::kNone;
    };
    CPPUNIT_ASSERT(this->Run({"apply", "f"}).code == ExitCode::kSuccess);
    this->fleet->next_fault = [](const std::string&, const AdminRequest&) {
      return AdminFault::kUnreachable;
    };
    for (const auto& command :
         std::vector<std::vector<std::string>>{{"apply", "f", "--base=1"},
                                               {"apply", "f"},
                                               {"show"},
                                               {"status"},
                                               {"diff", "f"},
                                               {"history"},
                                               {"history", "--change=x"},
                                               {"audit"},
                                               {"drain", "target", "parts-1"},
                                               {"report", "--month=2026-12"}}) {
      const CommandResult result = this->Run(command);
      CPPUNIT_ASSERT_MESSAGE(command[0], result.code == ExitCode::kUnreachable);
      CPPUNIT_ASSERT_MESSAGE(command[0], Contains(result.error_output,
                                                  "127.0.0.1:1: connection "
                                                  "refused; 127.0.0.1:2"));
    }
  }

  // Guards against reporting an unknown outcome for a change that no host ran.
  void TestNotRun() {
    this->InjectPostFaults({AdminFault::kNotRun, AdminFault::kUnreachable});
    const CommandResult result = this->Run({"apply", "f"});
    CPPUNIT_ASSERT(result.code == ExitCode::kUnreachable);
    CPPUNIT_ASSERT(Contains(result.error_output, "not run, nothing changed"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->fleet->CountPosts());
  }

  // Guards against findings of a host that are not shown to the operator, and
  // against terminal escape sequences in them.
  void TestServerFindingsAreReported() {
    json findings = json::array();
    for (int index = 0; index < 10; ++index) {
      findings.push_back(
          {{"place", "/targets/" + std::to_string(index)}, {"message", "is \x1b[31m faulty"}});
    }
    this->fleet->fixed_responses = {
        {"/admin/v1/configuration", {422, json{{"findings", findings}}.dump()}}};
    const CommandResult text = this->Run({"apply", "f", "--base=1"});
    CPPUNIT_ASSERT(text.code == ExitCode::kInvalidConfiguration);
    for (int index = 0; index < 10; ++index) {
      CPPUNIT_ASSERT(Contains(text.error_output, "/targets/" + std::to_string(index) + ": is ?["));
    }
    const CommandResult result = this->Run({"apply", "f", "--base=1", "--json"});
    CPPUNIT_ASSERT(findings == json::parse(result.output)["findings"]);
  }

  // Guards against reporting that nothing changed after a response that does not
  // state it.
  void TestAmbiguousResponsesAreUnknown() {
    for (const AdminResponse& response :
         std::vector<AdminResponse>{{200, ""},
                                    {200, "{}"},
                                    {200, R"({"revision": 0})"},
                                    {200, R"({"revision": "2"})"},
                                    {503, ""},
                                    {503, R"({"outcome": "unknown"})"},
                                    {500, ""},
                                    {302, ""}}) {
      this->setUp();
      this->fleet->fixed_responses = {{"/admin/v1/configuration", response}};
      const CommandResult result = this->Run({"apply", "f", "--base=1"});
      CPPUNIT_ASSERT_MESSAGE(response.body, result.code == ExitCode::kUnknownOutcome);
    }
  }

  void TestRejectedRequest() {
    this->fleet->fixed_responses = {{"/admin/v1/configuration", {413, ""}}};
    const CommandResult result = this->Run({"apply", "f", "--base=1"});
    CPPUNIT_ASSERT(result.code == ExitCode::kInternalError);
    CPPUNIT_ASSERT(Contains(result.error_output, "status 413"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->fleet->CountPosts());
  }

  // Guards against output of "show" that cannot be edited and applied again.
  void TestShowAndDiff() {
    CPPUNIT_ASSERT(this->Run({"show"}).code == ExitCode::kInternalError);
    const std::string original = documents::Valid().dump(2) + "\n";
    this->fleet->CommitCompetingChange(original);
    const CommandResult show = this->Run({"show"});
    CPPUNIT_ASSERT_EQUAL(original, show.output);
    CPPUNIT_ASSERT_EQUAL(std::string("revision 1 by kojo, change competing-0\n"),
                         show.error_output);
    CPPUNIT_ASSERT(json::parse(this->Run({"show", "--json"}).output)["revision"] == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("no difference\n"), this->Run({"diff", "f"}).output);
    this->file = ChangedDocument().dump();
    CPPUNIT_ASSERT_EQUAL(std::string("~ target parts-1 slots: 3 -> 4\n"),
                         this->Run({"diff", "f"}).output);
    const json difference = json::parse(this->Run({"diff", "f", "--json"}).output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, difference["difference"].size());
  }

  // Guards against a history that does not tell the operator whether a change is
  // committed or can still be committed.
  void TestHistory() {
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    const CommandResult committed = this->Run({"history", "--change=competing-0"});
    CPPUNIT_ASSERT((CommandResult{.output = "change competing-0 is committed as revision 1\n"}) ==
                   committed);
    const CommandResult undecided = this->Run({"history", "--change=mine"});
    CPPUNIT_ASSERT(undecided.code == ExitCode::kUnknownOutcome);
    CPPUNIT_ASSERT(Contains(undecided.output, "is not committed; revision 2 is current"));
    CPPUNIT_ASSERT(this->Run({"history", "--change=mine", "--base=2"}).code ==
                   ExitCode::kUnknownOutcome);
    const CommandResult superseded = this->Run({"history", "--change=mine", "--base=1"});
    CPPUNIT_ASSERT(superseded.code == ExitCode::kConflict);
    CPPUNIT_ASSERT(Contains(superseded.output, "cannot be committed any more"));
    CPPUNIT_ASSERT(this->Run({"history", "--change=a&b"}).code == ExitCode::kUsage);
    this->fleet->fixed_responses = {
        {"/admin/v1/history", {200, R"({"changes": [{"revision": 1}]})"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("changes:\n  - revision=1\n"), this->Run({"history"}).output);
  }

  // Guards against a status command that fails on fields added in later versions.
  void TestAuditAndStatus() {
    this->fleet->fixed_responses = {
        {"/admin/v1/audit", {200, R"({"records": [{"author": "ama", "revision": 1}]})"}},
        {"/admin/v1/status",
         {200, R"({"host": "h", "ready": true, "members": [{"name": "a", "domains": ["x"]}]})"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("records:\n  - author=ama  revision=1\n"),
                         this->Run({"audit"}).output);
    CPPUNIT_ASSERT_EQUAL(
        std::string("host: h\nready: true\nmembers:\n  -\n    name: a\n    domains:\n      - x\n"),
        this->Run({"status"}).output);
    CPPUNIT_ASSERT(json::parse(this->Run({"status", "--json"}).output)["host"] == "h");
    this->fleet->fixed_responses = {{"/admin/v1/status", {200, "not JSON"}}};
    CPPUNIT_ASSERT(this->Run({"status"}).code == ExitCode::kInternalError);
  }

  // Guards against a drain that changes other parts of the document, or that
  // commits again when it is repeated after a lost response.
  void TestDrainTarget() {
    this->fleet->CommitCompetingChange(documents::Valid().dump());
    CPPUNIT_ASSERT(this->Run({"drain", "target", "parts-9"}).code == ExitCode::kUsage);
    CPPUNIT_ASSERT_EQUAL(std::string("committed as revision 2\n"),
                         this->Run({"drain", "target", "parts-2"}).output);
    json expected = documents::Valid();
    expected["targets"][1]["leaving"] = true;
    CPPUNIT_ASSERT(expected == json::parse(this->fleet->changes.back().content));
    CPPUNIT_ASSERT_EQUAL(std::string("target parts-2 is already leaving in revision 2\n"),
                         this->Run({"drain", "target", "parts-2"}).output);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->fleet->revision());
  }

  // Guards against draining a host other than the one that the operator named.
  void TestDrainHost() {
    CPPUNIT_ASSERT(this->Run({"drain", "host"}).code == ExitCode::kUsage);
    CPPUNIT_ASSERT(this->fleet->requests.empty());
    this->fleet->fixed_responses = {{"/admin/v1/drain", {200, "{}"}}};
    const std::vector<std::string> drain_command{"drain", "host", "--host=127.0.0.1:7",
                                                 "--author=ama"};
    CPPUNIT_ASSERT(this->RunWithoutDefaults(drain_command).code == ExitCode::kSuccess);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7"), this->fleet->requests.at(0).first);
    this->InjectPostFaults({AdminFault::kUnreachable, AdminFault::kLostResponse});
    CPPUNIT_ASSERT(this->RunWithoutDefaults(drain_command).code == ExitCode::kUnreachable);
    CPPUNIT_ASSERT(this->RunWithoutDefaults(drain_command).code == ExitCode::kUnknownOutcome);
  }

  // Guards against counting a summary twice that is listed on two pages.
  void TestReportReadsEachSummaryOnce() {
    const HostSummary first = MakeSummary(1);
    const HostSummary second = MakeSummary(2);
    const json as_object{{"key", second.Key()}, {"content", json::parse(SummaryToJson(second))}};
    const json as_text{{"key", first.Key()}, {"content", SummaryToJson(first)}};
    const std::string path = "/admin/v1/summaries?month=2026-12";
    this->fleet->fixed_responses = {
        {path, {200, json{{"summaries", {as_text, 3, "x"}}, {"next", first.Key()}}.dump()}},
        {path + "&after=" + first.Key(),
         {200, json{{"summaries", {as_text, as_object}}, {"next", nullptr}}.dump()}}};
    const CommandResult result = this->Run({"report", "--month=2026-12", "--json"});
    CPPUNIT_ASSERT(result.code == ExitCode::kSuccess);
    const json report = json::parse(result.output);
    CPPUNIT_ASSERT_EQUAL(2, report["services"][0]["requests"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, report["unreadable"].get<int>());
    CPPUNIT_ASSERT(Contains(this->Run({"report", "--month=2026-12"}).output, "service parts"));
  }

  // Guards against a report that omits pages without an error.
  void TestReportNeedsAllPages() {
    this->fleet->fixed_responses = {
        {"/admin/v1/summaries?month=2026-12", {200, R"({"summaries": [], "next": "summary/a"})"}}};
    CPPUNIT_ASSERT(this->Run({"report", "--month=2026-12"}).code == ExitCode::kInternalError);
    this->fleet->fixed_responses = {{"/admin/v1/summaries?month=2026-12", {503, ""}}};
    CPPUNIT_ASSERT(this->Run({"report", "--month=2026-12"}).code == ExitCode::kUnreachable);
  }

  // Guards against a wrong exit code under any combination of faults, delayed
  // writes and competing changes. Success means that the change is committed
  // once; conflict, not run and invalid mean that it is not committed, even by a
  // delayed write.
  void TestExitCodeIsCorrectUnderFaults() {
    std::map<ExitCode, int> counts;
    CheckProperty("changes under faults", 5000, [&] {
      this->setUp();
      this->fleet->CommitCompetingChange(documents::Valid().dump());
      this->fleet->next_fault = [&](const std::string&, const AdminRequest&) {
        this->fleet->ignores_change_ids = *rc::gen::inRange(0, 4) == 0;
        if (*rc::gen::inRange(0, 6) == 0) {
          this->fleet->CommitCompetingChange(documents::Valid().dump());
        }
        if (*rc::gen::inRange(0, 6) == 0) {
          this->fleet->DeliverDelayedWrites();
        }
        return *rc::gen::weightedElement<AdminFault>({{3, AdminFault::kNone},
                                                      {2, AdminFault::kUnreachable},
                                                      {2, AdminFault::kLostRequest},
                                                      {2, AdminFault::kLostResponse},
                                                      {2, AdminFault::kDelayedWrite},
                                                      {2, AdminFault::kNotRun},
                                                      {2, AdminFault::kUnknownAfterWrite},
                                                      {1, AdminFault::kInternalError}});
      };
      const CommandResult result = this->Run({"apply", "f", "--base=1"});
      this->fleet->next_fault = nullptr;
      this->fleet->DeliverDelayedWrites();
      const MockFleet::Change* const committed = this->fleet->Find("generated-1");
      ++counts[result.code];
      switch (result.code) {
        case ExitCode::kSuccess:
          RC_ASSERT(committed != nullptr);
          RC_ASSERT(result.output ==
                    "committed as revision " + std::to_string(committed->revision) + "\n");
          break;
        case ExitCode::kConflict:
        case ExitCode::kUnreachable:
          RC_ASSERT(committed == nullptr);
          break;
        default:
          RC_ASSERT(result.code == ExitCode::kUnknownOutcome);
      }
    });
    for (const ExitCode code : {ExitCode::kSuccess, ExitCode::kConflict, ExitCode::kUnreachable,
                                ExitCode::kUnknownOutcome}) {
      CPPUNIT_ASSERT(counts[code] > 50);
    }
  }

  // Guards against malformed responses that crash pimentopinctl.
  void TestMalformedResponses() {
    const std::vector<std::vector<std::string>> commands{{"apply", "f"},
                                                         {"apply", "f", "--base=1"},
                                                         {"show"},
                                                         {"diff", "f"},
                                                         {"history"},
                                                         {"history", "--change=x"},
                                                         {"audit"},
                                                         {"status"},
                                                         {"drain", "target", "parts-1"},
                                                         {"report", "--month=2026-12"}};
    CheckProperty("malformed responses", 3000, [&] {
      this->setUp();
      const auto value = [] {
        return *rc::gen::element<json>(nullptr, 1, -1, 1.5, "x", "not-run", "summary/2026-12/a-1/1",
                                       json::array(), json::array({1, nullptr, json::object()}),
                                       json::object(), true, documents::Valid().dump(),
                                       R"({"targets": [1, {"name": "parts-1"}]})", "{}", "[]");
      };
      json body = json::object();
      for (const char* field :
           {"revision", "content", "author", "change_id", "conflict", "difference", "findings",
            "outcome", "state", "current_revision", "summaries", "next"}) {
        if (*rc::gen::inRange(0, 3) > 0) {
          body[field] = value();
        }
      }
      const std::string text = *rc::gen::inRange(0, 8) == 0 ? value().dump() : body.dump();
      const int status = *rc::gen::element(200, 404, 409, 422, 503, 500, 400);
      const auto command = *rc::gen::elementOf(commands);
      FixedResponseClient client(AdminResponse{status, text});
      const CommandResult result = this->RunWithClient(client, WithDefaultFlags(command));
      RC_ASSERT(result.code != ExitCode::kSuccess || !result.output.empty());
    });
  }

 private:
  class FixedResponseClient : public AdminClient {
   public:
    explicit FixedResponseClient(AdminResponse fixed_response)
        : response(std::move(fixed_response)) {}
    std::optional<AdminResponse> Send(const std::string& /*host*/,
                                      const AdminRequest& /*request*/,
                                      Error& /*error*/) override {
      return this->response;
    }

   private:
    AdminResponse response;
  };

  static json ChangedDocument() {
    json document = documents::Valid();
    document["targets"][0]["slots"] = 4;
    return document;
  }

  static HostSummary MakeSummary(std::uint64_t incarnation) {
    // 2026-12-04T09:00:00Z
    SummaryRecorder recorder("host-1", incarnation, 1'796'374'800'000);
    recorder.OnRequest({.service = "parts"});
    return *recorder.Close(1'796'374'860'000);
  }

  static std::vector<std::string> WithDefaultFlags(std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--host=127.0.0.1:1,127.0.0.1:2", "--author=ama"});
    return arguments;
  }

  static bool Contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  // Injects the given faults into the next POST requests, one each.
  void InjectPostFaults(std::vector<AdminFault> faults) {
    this->fleet->next_fault = [faults, next = std::size_t{0}](const std::string&,
                                                              const AdminRequest& request) mutable {
      return request.method == "POST" && next < faults.size() ? faults[next++] : AdminFault::kNone;
    };
  }

  CommandResult Run(const std::vector<std::string>& arguments) {
    return this->RunWithoutDefaults(WithDefaultFlags(arguments));
  }

  CommandResult RunWithoutDefaults(const std::vector<std::string>& arguments) {
    return this->RunWithClient(*this->fleet, arguments);
  }

  CommandResult RunWithClient(AdminClient& client, const std::vector<std::string>& arguments) {
    Findings findings;
    const SettingsResult settings = ReadSettings(
        {.name = "pimentopinctl", .positional_help = "COMMAND"}, OperatorSettings(), arguments,
        [](const std::string&) { return std::nullopt; }, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    int next_id = 0;
    const OperatorHooks hooks{
        .read_file =
            [&](const std::string& path, Error& error) {
              error = {ErrorCode::kNotFound, path + ": cannot be read"};
              return this->file;
            },
        .generate_change_id = [&] { return "generated-" + std::to_string(++next_id); },
        .sleep = [&](Duration) { ++this->sleep_count; },
        .print_notice =
            [&](const std::string& line) {
              this->notices.push_back(line);
              this->posts_at_notice = this->fleet->CountPosts();
            }};
    return RunOperatorCommand(*settings.settings, client, hooks);
  }

  std::unique_ptr<MockFleet> fleet;
  std::optional<std::string> file;
  std::vector<std::string> notices;
  std::size_t posts_at_notice = 0;
  int sleep_count = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandsTest);

}  // namespace
}  // namespace pimentopin

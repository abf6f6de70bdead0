#include "Libraries/LibCore/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <regex>

#include "Tests/property.h"

namespace pimentopin {
namespace {

using Environment = std::map<std::string, std::string>;

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(TestFlagTakesPrecedenceOverVariableAndDefault);
  CPPUNIT_TEST(TestFindingsAreReportedTogether);
  CPPUNIT_TEST(TestFindingsNameTheEnvironmentVariable);
  CPPUNIT_TEST(TestMisspeltVariableIsIgnoredSilently);
  CPPUNIT_TEST(TestMissingValue);
  CPPUNIT_TEST(TestRepeatedFlags);
  CPPUNIT_TEST(TestHelpListsUnitsRangesAndVariables);
  CPPUNIT_TEST(TestVersionNeedsNoValidSettings);
  CPPUNIT_TEST(TestCheck);
  CPPUNIT_TEST(TestPositionalArguments);
  CPPUNIT_TEST(TestRandomArguments);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an environment variable that overrides a flag.
  void TestFlagTakesPrecedenceOverVariableAndDefault() {
    Findings findings;
    const Environment environment{{"PIMENTOPIN_NAME", "from-variable"},
                                  {"PIMENTOPIN_SHUTDOWN_DELAY_MS", "7"},
                                  {"PIMENTOPIN_LOG_LEVEL", ""}};
    const auto result = Read({"--name=from-flag"}, environment, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    CPPUNIT_ASSERT_EQUAL(std::string("from-flag"), result.settings->Text("name"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, result.settings->Number("shutdown-delay-ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("info"), result.settings->Text("log-level"));
    CPPUNIT_ASSERT(!result.settings->Has("peer-address"));
    CPPUNIT_ASSERT(result.settings->List("seeds").empty());
  }

  // Guards against reporting only the first invalid setting: an operator would have to start the
  // daemon once per error.
  void TestFindingsAreReportedTogether() {
    Findings findings;
    const auto result = Read({"--nmae=x", "--shutdown-delay-ms", "soon", "--peer-address=nowhere:1",
                              "--seeds=127.0.0.1:1,127.0.0.1,127.0.0.1:0", "--log-level=loud",
                              "--check=maybe", "-x", "stray", "--threads=99", "--threads=2"},
                             {}, findings);
    const std::string expected =
        "--nmae: unknown flag\n"
        "-x: unknown flag\n"
        "command line: unexpected argument 'stray'\n"
        "--name: is required (or set PIMENTOPIN_NAME)\n"
        "--shutdown-delay-ms: 'soon' is not a whole number of milliseconds\n"
        "--threads: is given more than once\n"
        "--threads: 99 is outside 1 to 64\n"
        "--peer-address: 'nowhere:1' is not IP:port\n"
        "--seeds: '127.0.0.1' is not IP:port\n"
        "--seeds: '127.0.0.1:0' needs a port above 0\n"
        "--log-level: 'loud' is not one of info, debug\n"
        "--check: 'maybe' is neither true nor false\n";
    CPPUNIT_ASSERT_EQUAL(expected, findings.ToText());
    CPPUNIT_ASSERT(!result.settings);
  }

  // Guards against a finding that names a flag when the value came from an environment variable.
  void TestFindingsNameTheEnvironmentVariable() {
    Findings findings;
    Read({"--name=a"},
         {{"PIMENTOPIN_SHUTDOWN_DELAY_MS", "99999999999999999999"},
          {"PIMENTOPIN_PEER_ADDRESS", "1.2.3.4"}},
         findings);
    CPPUNIT_ASSERT_EQUAL(
        std::string("PIMENTOPIN_SHUTDOWN_DELAY_MS: '99999999999999999999' is not a whole number "
                    "of milliseconds\n"
                    "PIMENTOPIN_PEER_ADDRESS: '1.2.3.4' is not IP:port\n"),
        findings.ToText());
  }

  // Guards against a setting that is not in force, without a word, because of its variable's name.
  void TestMisspeltVariableIsIgnoredSilently() {
    Findings findings;
    NoteUnknownVariables(Descriptions(),
                         {"PATH", "PIMENTOPIN_NAME", "PIMENTOPIN_CHECK", "PIMENTOPIN_BOOT",
                          "PIMENTOPIN_THREDS", "PIMENTOPIN_log_level", "pimentopin_name"},
                         {"PIMENTOPIN_BOOT"}, findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("'PIMENTOPIN_THREDS': no setting has this variable; it has no effect\n"
                    "'PIMENTOPIN_log_level': no setting has this variable; it has no effect\n"),
        findings.NotesToText());

    setenv("PIMENTOPIN_THREDS", "a=b", 1);
    const std::vector<std::string> names = ProcessVariableNames();
    unsetenv("PIMENTOPIN_THREDS");
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count(names.begin(), names.end(), "PIMENTOPIN_THREDS"));
  }

  // Guards against a flag without a value that uses the next flag as its value.
  void TestMissingValue() {
    Findings last;
    Read({"--name=a", "--shutdown-delay-ms"}, {}, last);
    CPPUNIT_ASSERT_EQUAL(std::string("--shutdown-delay-ms: value is missing\n"), last.ToText());
    Findings middle;
    Read({"--name", "--threads=2"}, {}, middle);
    CPPUNIT_ASSERT_EQUAL(std::string("--name: value is missing before '--threads=2'\n"),
                         middle.ToText());
    Findings empty;
    Read({"--name="}, {}, empty);
    CPPUNIT_ASSERT_EQUAL(std::string("--name: must not be empty\n"), empty.ToText());
  }

  // Guards against a repeated list flag of which only the last occurrence is used.
  void TestRepeatedFlags() {
    Findings findings;
    const auto result = Read(
        {"--name=a", "--seeds=127.0.0.1:1,127.0.0.1:2", "--seeds", "127.0.0.1:3"}, {}, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToText());
    const std::vector<std::string> expected{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"};
    CPPUNIT_ASSERT(expected == result.settings->List("seeds"));
  }

  // Guards against a number whose unit is missing from the help text.
  void TestHelpListsUnitsRangesAndVariables() {
    Findings findings;
    const auto result = Read({"--help"}, {}, findings);
    CPPUNIT_ASSERT(result.action == SettingsAction::kHelp);
    // cxxopts wraps lines.
    const std::string text = std::regex_replace(result.output, std::regex("\\s+"), " ");
    for (const char* part :
         {"--shutdown-delay-ms N", "in milliseconds", "0 to 600000", "default 5000",
          "[PIMENTOPIN_SHUTDOWN_DELAY_MS]", "--check", "--version", "one of info, debug"}) {
      CPPUNIT_ASSERT_MESSAGE(part + ("\n" + text), Contains(text, part));
    }
  }

  void TestVersionNeedsNoValidSettings() {
    Findings findings;
    const auto version = Read({"--unknown", "--version"}, {}, findings);
    CPPUNIT_ASSERT(version.action == SettingsAction::kVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("program 1.2.3\n"), version.output);
    CPPUNIT_ASSERT(findings.empty());
  }

  // Guards against --check running the program.
  void TestCheck() {
    Findings findings;
    CPPUNIT_ASSERT(Read({"--name=a", "--check"}, {}, findings).action == SettingsAction::kCheck);
    CPPUNIT_ASSERT(Read({"--name=a"}, {{"PIMENTOPIN_CHECK", "true"}}, findings).action ==
                   SettingsAction::kCheck);
    CPPUNIT_ASSERT(Read({"--name=a", "--check=false"}, {}, findings).action ==
                   SettingsAction::kRun);
    CPPUNIT_ASSERT(findings.empty());
  }

  void TestPositionalArguments() {
    Findings findings;
    ProgramDescription program = Program();
    program.positional_help = "COMMAND";
    const auto result = ReadSettings(
        program, Descriptions(), {"apply", "--name=a", "-", "--", "-x"},
        [](const std::string&) { return std::nullopt; }, findings);
    CPPUNIT_ASSERT_EQUAL(std::string("-x: unknown flag\n"), findings.ToText());
    Findings none;
    const auto accepted = ReadSettings(
        program, Descriptions(), {"apply", "--name=a", "-"},
        [](const std::string&) { return std::nullopt; }, none);
    CPPUNIT_ASSERT((std::vector<std::string>{"apply", "-"}) == accepted.settings->positional());
  }

  // Guards against uncaught exceptions of cxxopts on arbitrary arguments.
  void TestRandomArguments() {
    CheckProperty("random arguments", 2000, [&] {
      const auto arguments = *rc::gen::container<std::vector<std::string>>(rc::gen::oneOf(
          rc::gen::container<std::string>(rc::gen::inRange('\x01', '\x7f')),
          rc::gen::element<std::string>("--name", "--threads", "--threads=3", "--", "-", "--=x",
                                        "---", "--check", "-n", "-nx", "--n", "--name=")));
      Findings findings;
      const auto result = Read(arguments, {}, findings);
      const bool runs =
          result.action == SettingsAction::kRun || result.action == SettingsAction::kCheck;
      RC_ASSERT(!runs || result.settings.has_value() == findings.empty());
    });
  }

 private:
  static ProgramDescription Program() {
    return {.name = "program", .version = "1.2.3", .summary = "Does things"};
  }

  static std::vector<SettingDescription> Descriptions() {
    return {{.name = "name", .help = "Name", .required = true},
            {.name = "shutdown-delay-ms",
             .kind = SettingKind::kNumber,
             .help = "Delay",
             .unit = "milliseconds",
             .default_value = "5000",
             .maximum = 600'000},
            {.name = "threads",
             .kind = SettingKind::kNumber,
             .help = "Threads",
             .default_value = "2",
             .minimum = 1,
             .maximum = 64},
            {.name = "peer-address", .kind = SettingKind::kAddress, .help = "Peer address"},
            {.name = "seeds", .kind = SettingKind::kAddressList, .help = "Seeds", .minimum = 1},
            {.name = "log-level",
             .kind = SettingKind::kChoice,
             .help = "Log level",
             .default_value = "info",
             .choices = {"info", "debug"}}};
  }

  static SettingsResult Read(const std::vector<std::string>& arguments,
                             const Environment& environment,
                             Findings& findings) {
    return ReadSettings(
        Program(), Descriptions(), arguments,
        [&](const std::string& name) -> std::optional<std::string> {
          const auto found = environment.find(name);
          return found == environment.end() ? std::nullopt : std::optional(found->second);
        },
        findings);
  }

  static bool Contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibOperator/operator_program.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibCore/settings.h"
#include "Libraries/LibOperator/curl_admin_client.h"
#include "Libraries/LibOperator/operator_commands.h"

namespace pimentopin {
namespace {

// One byte above the limit, so that the configuration reader detects and reports
// a document that is too large.
constexpr std::size_t kMaxFileBytes = ConfigurationLimits().max_bytes + 1;

std::string ReadStream(std::istream& stream) {
  std::string text(kMaxFileBytes, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

std::optional<std::string> ReadFile(const std::string& path, Error& error) {
  if (path == "-") {
    return ReadStream(std::cin);
  }
  std::ifstream file(path, std::ios::binary);
  std::string text = file ? ReadStream(file) : std::string();
  if (!file.is_open() || file.bad()) {
    error = {ErrorCode::kNotFound, path + ": cannot be read"};
    return std::nullopt;
  }
  return text;
}

std::string GenerateChangeId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::random_device device;
  std::uniform_int_distribution<int> digit(0, 15);
  std::string id;
  for (int count = 0; count < 32; ++count) {
    id += kDigits[digit(device)];
  }
  return id;
}

}  // namespace

int RunOperatorProgram(const std::vector<std::string>& arguments) {
  const ProgramDescription program{
      .name = "pimentopinctl",
      .version = PIMENTOPIN_VERSION,
      .summary = "Operates a pimentopin fleet.\n\nCommands:\n" + CommandHelp(),
      .positional_help = "COMMAND [ARGUMENT...]"};
  Findings findings;
  const SettingsResult result =
      ReadSettings(program, OperatorSettings(), arguments, &ReadProcessEnvironment, findings);
  std::cout << result.output;
  if (result.action == SettingsAction::kHelp || result.action == SettingsAction::kVersion) {
    return static_cast<int>(ExitCode::kSuccess);
  }
  std::cerr << findings.ToText();
  if (!result.settings) {
    return static_cast<int>(ExitCode::kUsage);
  }
  if (result.action == SettingsAction::kCheck) {
    return static_cast<int>(ExitCode::kSuccess);
  }
  CurlAdminClient client(
      {.timeout = std::chrono::milliseconds(result.settings->Number("timeout-ms"))});
  const OperatorHooks hooks{
      .read_file = &ReadFile,
      .generate_change_id = &GenerateChangeId,
      .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); },
      .print_notice = [](const std::string& line) { std::cerr << line << "\n"; }};
  const CommandResult command = RunOperatorCommand(*result.settings, client, hooks);
  std::cout << command.output << std::flush;
  std::cerr << command.error_output;
  return static_cast<int>(command.code);
}

}  // namespace pimentopin

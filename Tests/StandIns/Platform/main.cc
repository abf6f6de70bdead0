#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/StandIns/Platform/platform_state.h"

namespace pimentopin {
namespace {

using nlohmann::json;
using Responder = std::shared_ptr<HttpResponder>;

constexpr std::string_view kTablePrefix = "/table/";
constexpr std::string_view kObjectPrefix = "/objects/";
constexpr std::string_view kHostPrefix = "/hosts/";

void AnswerJson(const Responder& responder, int status, const json& body) {
  responder->Respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::string Unescape(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16)));
      index += 2;
    } else {
      decoded.push_back(text[index]);
    }
  }
  return decoded;
}

// Serves one part of the platform under its fault mode. Each request blocks
// one of the server's threads while the part is slow.
class PlatformServer {
 public:
  void Handle(const HttpServerRequest& request, const Responder& responder) {
    try {
      this->Route(request, responder);
    } catch (const std::exception& error) {
      AnswerJson(responder, 400, {{"message", error.what()}});
    }
  }

 private:
  void Route(const HttpServerRequest& request, const Responder& responder) {
    const std::string& path = request.path;
    if (path == "/faults" && request.method == "POST") {
      const std::string error = this->state.SetFaults(json::parse(request.body));
      AnswerJson(responder, error.empty() ? 200 : 400, {{"message", error}});
    } else if (path == "/table" || path.starts_with(kTablePrefix)) {
      this->UnderMode(this->state.table_mode(), responder,
                      [&] { this->Table(request, responder); });
    } else if (path == "/objects" || path.starts_with(kObjectPrefix)) {
      this->UnderMode(this->state.objects_mode(), responder,
                      [&] { this->Objects(request, responder); });
    } else if (path == "/hosts" && request.method == "GET") {
      AnswerJson(responder, 200, this->state.ListHosts());
    } else if (path.starts_with(kHostPrefix) && request.method == "PUT") {
      this->state.RegisterHost(path.substr(kHostPrefix.size()), json::parse(request.body));
      AnswerJson(responder, 200, json::object());
    } else {
      AnswerJson(responder, 404, {{"message", "no such call"}});
    }
  }

  template <typename Call>
  void UnderMode(PartMode mode, const Responder& responder, Call call) {
    if (mode == PartMode::kDown) {
      responder->Abort();
      return;
    }
    if (mode == PartMode::kSlow) {
      std::this_thread::sleep_for(this->state.slow_delay());
    }
    call();
  }

  // Takes effect in mode kLoseAnswers, but the caller sees a broken connection.
  void AnswerWrite(PartMode mode, const Responder& responder, int status, const json& body) {
    if (mode == PartMode::kLoseAnswers) {
      responder->Abort();
      return;
    }
    AnswerJson(responder, status, body);
  }

  void Table(const HttpServerRequest& request, const Responder& responder) {
    if (request.method == "POST") {
      const json results = this->state.Write(json::parse(request.body).at("writes"));
      this->AnswerWrite(this->state.table_mode(), responder, 200, results);
      return;
    }
    const auto row = this->state.ReadRow(Unescape(request.path.substr(kTablePrefix.size())));
    AnswerJson(responder, row ? 200 : 404, row.value_or(json::object()));
  }

  void Objects(const HttpServerRequest& request, const Responder& responder) {
    if (request.path == "/objects") {
      const std::size_t equals = request.query.find('=');
      const std::string prefix =
          equals == std::string::npos ? "" : Unescape(request.query.substr(equals + 1));
      AnswerJson(responder, 200, this->state.ListObjects(prefix));
      return;
    }
    const std::string key = Unescape(request.path.substr(kObjectPrefix.size()));
    if (request.method == "PUT") {
      const bool stored = this->state.PutObjectIfAbsent(key, request.body);
      this->AnswerWrite(this->state.objects_mode(), responder, stored ? 201 : 412, json::object());
      return;
    }
    const auto content = this->state.GetObject(key);
    responder->Respond(content ? 200 : 404, {}, content.value_or(""));
  }

  PlatformState state;
};

int Run(int argc, char** argv) {
  cxxopts::Options options("platform-stand-in", "Table, object store and host list for tests");
  options.add_options()("address", "Listening address, IP:port",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  const auto parsed = options.parse(argc, argv);
  PlatformServer platform;
  Error error;
  const auto server = HttpServer::Create(
      {.address = parsed["address"].as<std::string>(), .threads = 8, .max_body_bytes = 64 << 20},
      [&platform](const HttpServerRequest& request, const Responder& responder) {
        platform.Handle(request, responder);
      },
      error);
  if (!server) {
    std::cerr << error.message << "\n";
    return 1;
  }
  std::cout << "listening " << server->address() << std::endl;
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  int received = 0;
  sigwait(&stop_signals, &received);
  return 0;
}

}  // namespace
}  // namespace pimentopin

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  try {
    return pimentopin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}

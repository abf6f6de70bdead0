#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/StandIns/Platform/platform.h"

namespace pimentopin {
namespace {

constexpr int kUsageError = 2;
// Larger than any batch of table writes: its JSON may be several times as long as the values.
constexpr std::size_t kMaxBodyBytes = 64 << 20;

int RunServer(const std::string& address) {
  asio::io_context context;
  Platform platform(context);
  Error error;
  const auto server = HttpServer::Create(
      {.address = address, .threads = 2, .limits = {.max_body_bytes = kMaxBodyBytes}},
      [&](HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
        asio::post(context, [&platform, request = std::move(request),
                             responder = std::move(responder)]() mutable {
          platform.Handle(std::move(request), std::move(responder));
        });
      },
      error);
  if (!server) {
    std::cerr << error.message << "\n";
    return kUsageError;
  }
  std::cout << "listening " << server->address() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("platform-stand-in",
                           "Stands in for the table store and the object store of the platform, in "
                           "memory, for tests and demos.");
  options.add_options()("address", "IP:port; the kernel chooses the port if it is 0",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "help", "print this help");
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return RunServer(flags["address"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << exception.what() << "\n";
    return kUsageError;
  }
}

}  // namespace
}  // namespace pimentopin

int main(int argc, char** argv) {
  return pimentopin::Main(argc, argv);
}

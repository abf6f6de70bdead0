#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/StandIns/Target/target.h"

namespace pimentopin {
namespace {

constexpr int kUsageError = 2;

Duration MillisecondsFlag(const cxxopts::ParseResult& flags, const char* name) {
  return std::chrono::milliseconds(flags[name].as<std::uint32_t>());
}

TargetSettings ReadSettings(const cxxopts::ParseResult& flags) {
  return {.name = flags["name"].as<std::string>(),
          .service = flags["service"].as<std::string>(),
          .slots = flags["slots"].as<std::size_t>(),
          .queue_limit = flags["queue-limit"].as<std::size_t>(),
          .service_time = MillisecondsFlag(flags, "service-time-ms"),
          .long_service_time = MillisecondsFlag(flags, "long-time-ms"),
          .cold_start_period = MillisecondsFlag(flags, "cold-start-ms"),
          .jitter = flags["jitter"].as<double>(),
          .seed = flags["seed"].as<std::uint64_t>(),
          .print_runs = flags["print-runs"].as<bool>(),
          .uses_platform_headers = flags["platform"].as<bool>()};
}

int RunServer(const std::string& address, TargetSettings settings) {
  asio::io_context context;
  Target target(context, std::move(settings));
  Error error;
  const auto server = HttpServer::Create(
      {.address = address, .threads = 2, .max_concurrent_requests = 100000},
      [&](HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
        asio::post(context, [&target, request = std::move(request),
                             responder = std::move(responder)]() mutable {
          target.Handle(std::move(request), std::move(responder));
        });
      },
      error);
  if (!server) {
    std::cerr << error.message << "\n";
    return kUsageError;
  }
  std::cout << "listening " << server->address() << std::endl;

  // Stops the event loop after the requests in progress have finished.
  asio::steady_timer timer(context);
  std::function<void()> stop_when_idle = [&] {
    if (server->requests_in_progress() == 0) {
      context.stop();
      return;
    }
    timer.expires_after(std::chrono::milliseconds(5));
    timer.async_wait([&](const asio::error_code&) { stop_when_idle(); });
  };
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& failure, int) {
    if (!failure) {
      server->StopListening(std::nullopt);
      stop_when_idle();
    }
  });
  context.run();
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("target-stand-in", "Target for tests, demos and benchmarks.");
  options.add_options()("address", "IP:port; the kernel chooses the port if it is 0",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "name", "name of the target", cxxopts::value<std::string>()->default_value("target"))(
      "service", "name of the service in the responses",
      cxxopts::value<std::string>()->default_value("service"))(
      "slots", "concurrent workers", cxxopts::value<std::size_t>()->default_value("3"))(
      "queue-limit", "queued requests from which on requests are shed",
      cxxopts::value<std::size_t>()->default_value("100"))(
      "service-time-ms", "mean service time of short work",
      cxxopts::value<std::uint32_t>()->default_value("20"))(
      "long-time-ms", "mean service time of work with long=1",
      cxxopts::value<std::uint32_t>()->default_value("600"))(
      "cold-start-ms", "period after the start in which work is slower",
      cxxopts::value<std::uint32_t>()->default_value("0"))(
      "jitter", "fraction by which service times vary",
      cxxopts::value<double>()->default_value("0.2"))(
      "seed", "seed of jitter and faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "print-runs", "print a line at the start of each run",
      cxxopts::value<bool>()->default_value("false"))(
      "platform", "use the headers of the platform's backends",
      cxxopts::value<bool>()->default_value("false"))("help", "print this help");
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return RunServer(flags["address"].as<std::string>(), ReadSettings(flags));
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

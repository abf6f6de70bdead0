#pragma once

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_server.h"

namespace pimentopin {

enum class PartState {
  kUp,
  // Answers 503 and states that nothing was applied.
  kDown,
  // Works after PlatformFaults::slow.
  kSlow,
  // Applies the call and then closes the connection without an answer.
  kLoseAnswers,
};

struct PlatformFaults {
  PartState table = PartState::kUp;
  PartState objects = PartState::kUp;
  PartState hosts = PartState::kUp;
  // The host list shows the state of this long ago.
  Duration hosts_lag{};
  Duration slow = std::chrono::seconds(1);

  friend bool operator==(const PlatformFaults&, const PlatformFaults&) = default;
};

// In-memory platform: table, object store and host list with the protocol of section 7.5 of the
// design. All functions run on the io_context's thread.
class Platform {
 public:
  explicit Platform(asio::io_context& context) : context(context) {}

  void Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);

 private:
  struct Answer {
    int status = 200;
    std::string body;
  };
  struct Row {
    std::uint64_t version = 0;
    // A string as the caller sent it.
    nlohmann::json value;
  };
  struct HostChange {
    TimePoint at;
    std::string name;
    // None if the entry was removed.
    std::optional<nlohmann::json> entry;
  };
  using Action = std::function<Answer()>;

  void Serve(PartState state, std::shared_ptr<HttpResponder> responder, Action action);
  Answer Table(const HttpServerRequest& request);
  Answer WriteTable(const std::string& body);
  Answer Objects(const HttpServerRequest& request);
  Answer Hosts(const HttpServerRequest& request);
  Answer ListHosts() const;
  Answer Faults(const HttpServerRequest& request);

  asio::io_context& context;
  PlatformFaults faults;
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  std::vector<HostChange> host_changes;
};

}  // namespace pimentopin

#pragma once

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_server.h"

namespace pimentopin {

enum class StoreState {
  kUp,
  // Responds with status 503 without applying the request.
  kDown,
  // Applies the request after PlatformFaults::slow_delay.
  kSlow,
  // Applies the request and closes the connection without a response.
  kDropResponses,
  // Accepts the request and does nothing until the state changes, which closes the connection.
  kSilent,
};

struct PlatformFaults {
  StoreState table = StoreState::kUp;
  StoreState objects = StoreState::kUp;
  Duration slow_delay = std::chrono::seconds(1);

  friend bool operator==(const PlatformFaults&, const PlatformFaults&) = default;
};

// Stands in for the table store and the object store of the platform, and for nothing else of it.
// Keeps rows and objects in memory and speaks the protocol of docs/platform.md. Operators and
// targets write rows with POST /rows, which takes {"table", "key", "value"}; without a value, it
// removes the row. POST /compact discards the history of changes. POST /copy takes a copy of the
// store, and POST /return makes the store come back from it in a new era. All functions run on the
// io_context's thread.
class Platform {
 public:
  explicit Platform(asio::io_context& context) : context(context) {}

  void Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder);

 private:
  struct Response {
    int status = 200;
    std::string body;
  };
  struct Row {
    std::uint64_t version = 0;
    // Base64-encoded.
    std::string value;
    bool removed = false;
  };
  // Table and key. The store has a single partition.
  using RowName = std::pair<std::string, std::string>;
  using Parameters = std::map<std::string, std::string>;
  using Operation = std::function<Response()>;
  struct Waiter {
    std::string table;
    std::uint64_t after = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  struct Contents {
    std::map<RowName, Row> rows;
    std::uint64_t version = 0;
    std::uint64_t compacted_version = 0;
    std::map<std::string, std::string> objects;
  };

  void RespondInState(StoreState state,
                      std::shared_ptr<HttpResponder> responder,
                      Operation operation);
  Response ApplyTransaction(const std::string& body);
  Response ListRows(const Parameters& parameters) const;
  void HandleFeed(const Parameters& parameters, const std::shared_ptr<HttpResponder>& responder);
  Response HandleObjects(const HttpServerRequest& request);
  Response WriteRow(const std::string& body);
  Response Compact();
  Response Copy();
  Response Return();
  // Of every response.
  HttpHeaders Headers() const;
  Response HandleFaults(const HttpServerRequest& request);
  // Closes the connections of requests that a store in state silent has accepted.
  void AbortSilentRequests();
  // Changes of the table after the version; empty if there are none.
  std::optional<Response> ChangesSince(const std::string& table, std::uint64_t after) const;
  void NotifyWaiters();

  asio::io_context& context;
  PlatformFaults faults;
  std::map<RowName, Row> rows;
  std::uint64_t version = 0;
  // The history of changes up to this version has been discarded.
  std::uint64_t compacted_version = 0;
  std::map<std::string, std::string> objects;
  std::optional<Contents> copy;
  // Number of times that the store has come back from a copy, and one more.
  std::uint64_t era = 1;
  std::list<Waiter> waiters;
  std::vector<std::shared_ptr<HttpResponder>> silent_requests;
};

}  // namespace pimentopin

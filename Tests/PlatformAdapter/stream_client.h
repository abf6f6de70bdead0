#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibHttp/carried_requests.h"
#include "Libraries/LibHttp/http_client.h"

namespace pimentopin {

// A response that a modelled target has written.
struct StreamedResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // Path of the request that the target answered.
  std::string path;
  bool is_copy = false;

  friend bool operator==(const StreamedResponse&, const StreamedResponse&) = default;
};

// HTTP client whose connections are streams in memory, so that a response reaches whichever
// request uses the connection when it arrives. Implements the contract of HttpClient. Step() makes
// one move; between moves, everything else may happen.
class StreamClient : public HttpClient {
 public:
  class StreamTransfer;

  struct Connection {
    std::string address;
    int local_port = 0;
    CarriedRequests carried;
    // Sent and not yet read by the target.
    std::deque<HttpClientRequest> requests;
    // Written and not yet arrived.
    std::deque<StreamedResponse> responses;
    std::shared_ptr<StreamTransfer> user;
    bool open = true;
  };

  struct Settings {
    // Sends an id more than once on a connection, as if late responses did not exist.
    bool repeats_ids = false;
    // The target reads a request. May write responses, and later ones as well.
    std::function<void(Connection&, const HttpClientRequest&)> on_request;
    // A response arrives for a request.
    std::function<void(const HttpClientRequest&, const StreamedResponse&)> on_response;
  };

  class StreamTransfer : public Transfer {
   public:
    StreamTransfer(HttpClientRequest request, TransferCallbacks callbacks)
        : request(std::move(request)), callbacks(std::move(callbacks)) {}
    void Cancel() override { this->cancelled = true; }
    void Pause() override {}
    void Resume() override {}

    const HttpClientRequest request;
    const TransferCallbacks callbacks;
    std::shared_ptr<Connection> connection;
    // The response whose header has arrived.
    std::optional<StreamedResponse> response;
    bool cancelled = false;
  };

  StreamClient(RandomSource& random, Settings settings)
      : random(random), settings(std::move(settings)) {}

  std::shared_ptr<Transfer> Start(HttpClientRequest request, TransferCallbacks callbacks) override {
    this->transfers.push_back(
        std::make_shared<StreamTransfer>(std::move(request), std::move(callbacks)));
    return this->transfers.back();
  }

  // Makes a randomly chosen move; returns false if none is possible.
  bool Step() {
    std::vector<std::function<void()>> moves;
    for (const auto& transfer : this->transfers) {
      if (transfer->cancelled) {
        moves.emplace_back([this, transfer] { this->End(transfer, TransferError::kCancelled); });
      }
      if (!transfer->connection) {
        moves.emplace_back([this, transfer] { this->Send(transfer); });
      } else if (transfer->response) {
        moves.emplace_back([this, transfer] { this->End(transfer, TransferError::kNone); });
      }
    }
    for (const auto& connection : this->connections) {
      if (!connection->requests.empty()) {
        moves.emplace_back([this, connection] { this->Read(*connection); });
      }
      const bool is_receiving = connection->user && connection->user->response;
      if (connection->open && !connection->responses.empty() && !is_receiving) {
        moves.emplace_back([this, connection] { this->Arrive(*connection); });
      }
    }
    if (moves.empty()) {
      return false;
    }
    moves[this->random.Below(moves.size())]();
    std::erase_if(this->connections, [](const auto& connection) {
      return !connection->open && connection->requests.empty();
    });
    return true;
  }

  // Null if the connection is closed and the target has read all that was sent.
  std::shared_ptr<Connection> FindConnection(int local_port) const {
    for (const auto& connection : this->connections) {
      if (connection->local_port == local_port) {
        return connection;
      }
    }
    return nullptr;
  }

 private:
  void Send(const std::shared_ptr<StreamTransfer>& transfer) {
    const HttpClientRequest& request = transfer->request;
    ConnectionUse use;
    if (this->settings.repeats_ids || !request.echoed_id || !request.echoed_id->empty()) {
      transfer->connection = this->TakeIdleConnection(request, use.avoided_connections);
    }
    if (!transfer->connection) {
      transfer->connection = std::make_shared<Connection>(
          Connection{.address = AddressOf(request), .local_port = ++this->last_port});
      this->connections.push_back(transfer->connection);
    }
    Connection& connection = *transfer->connection;
    use.local_port = connection.local_port;
    use.earlier_requests = connection.carried.count();
    connection.carried.Add(request.echoed_id);
    connection.requests.push_back(request);
    connection.user = transfer;
    if (transfer->callbacks.on_connection) {
      transfer->callbacks.on_connection(use);
    }
  }

  std::shared_ptr<Connection> TakeIdleConnection(const HttpClientRequest& request,
                                                 std::size_t& avoided) {
    std::vector<std::shared_ptr<Connection>> idle;
    for (const auto& connection : this->connections) {
      if (connection->open && !connection->user && connection->address == AddressOf(request)) {
        idle.push_back(connection);
      }
    }
    while (!idle.empty()) {
      const auto chosen =
          idle.begin() + static_cast<std::ptrdiff_t>(this->random.Below(idle.size()));
      if (this->settings.repeats_ids || (*chosen)->carried.MayCarry(request.echoed_id)) {
        return *chosen;
      }
      ++avoided;
      (*chosen)->open = false;
      idle.erase(chosen);
    }
    return nullptr;
  }

  void Read(Connection& connection) {
    const HttpClientRequest request = std::move(connection.requests.front());
    connection.requests.pop_front();
    // A target may or may not notice that the connection has closed.
    if (connection.open || this->random.Below(2) == 0) {
      this->settings.on_request(connection, request);
    }
  }

  void Arrive(Connection& connection) {
    const std::shared_ptr<StreamTransfer> transfer = connection.user;
    StreamedResponse response = std::move(connection.responses.front());
    connection.responses.pop_front();
    if (!transfer) {
      // Bytes that belong to no request.
      connection.open = false;
      return;
    }
    transfer->response = response;
    if (this->settings.on_response) {
      this->settings.on_response(transfer->request, response);
    }
    if (!transfer->callbacks.on_headers(response.status, response.headers)) {
      this->End(transfer, TransferError::kRejected);
    } else if (this->random.Below(2) == 0) {
      // The whole response arrives at once.
      this->End(transfer, TransferError::kNone);
    }
  }

  void End(const std::shared_ptr<StreamTransfer>& transfer, TransferError error) {
    std::erase(this->transfers, transfer);
    if (error == TransferError::kNone && transfer->callbacks.on_body) {
      transfer->callbacks.on_body(transfer->response->body);
    }
    if (transfer->connection) {
      transfer->connection->user.reset();
      const std::optional<std::string>& id = transfer->request.echoed_id;
      const bool is_kept = this->settings.repeats_ids || !id || !id->empty();
      transfer->connection->open = error == TransferError::kNone && is_kept;
    }
    transfer->callbacks.on_end(
        {.error = error, .may_have_been_sent = transfer->connection != nullptr});
  }

  static std::string AddressOf(const HttpClientRequest& request) {
    constexpr std::size_t kSchemeLength = 7;
    return request.url.substr(0, request.url.find('/', kSchemeLength));
  }

  RandomSource& random;
  const Settings settings;
  std::vector<std::shared_ptr<StreamTransfer>> transfers;
  std::vector<std::shared_ptr<Connection>> connections;
  int last_port = 0;
};

}  // namespace pimentopin

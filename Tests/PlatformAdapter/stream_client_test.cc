#include "Tests/PlatformAdapter/stream_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr int kMoves = 150;
constexpr std::size_t kMaxTransfers = 3;

// A client with a target that answers when it is told to.
class ContractSubject {
 public:
  virtual ~ContractSubject() = default;
  virtual HttpClient& client() = 0;
  virtual std::string url() const = 0;
  // Returns once the request is sent.
  virtual void AwaitConnection(TransferRecorder& record) = 0;
  // Answers the request on the connection and returns once the transfer has ended.
  virtual void Answer(TransferRecorder& record) = 0;
  // Returns once the cancelled transfer has ended.
  virtual void AwaitEnd(TransferRecorder& record) = 0;
};

class RealSubject : public ContractSubject {
 public:
  HttpClient& client() override { return *this->http_client; }
  std::string url() const override { return this->server.url("/"); }
  void AwaitConnection(TransferRecorder& record) override {
    CPPUNIT_ASSERT(Eventually([&record] { return record.has_connection(); }));
    const int port = record.connection->local_port;
    if (record.connection->earlier_requests == 0) {
      this->connections.erase(port);
      this->connections.emplace(port, this->server.Accept());
    }
    CPPUNIT_ASSERT(!this->connections.at(port).ReadUntil("\r\n\r\n").empty());
  }
  void Answer(TransferRecorder& record) override {
    this->connections.at(record.connection->local_port)
        .Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    this->AwaitEnd(record);
  }
  void AwaitEnd(TransferRecorder& record) override { CPPUNIT_ASSERT(record.Wait()); }

 private:
  asio::io_context context;
  RawServer server{this->context};
  std::map<int, RawConnection> connections;
  std::unique_ptr<HttpClient> http_client = HttpClient::Create({});
};

class FakeSubject : public ContractSubject {
 public:
  FakeSubject(RandomSource& random, bool repeats_ids)
      : fake(random,
             {.repeats_ids = repeats_ids,
              .on_request = [](StreamClient::Connection&, const HttpClientRequest&) {}}) {}
  HttpClient& client() override { return this->fake; }
  std::string url() const override { return "http://target/"; }
  void AwaitConnection(TransferRecorder& record) override {
    while (this->fake.Step()) {
    }
    CPPUNIT_ASSERT(record.has_connection());
  }
  void Answer(TransferRecorder& record) override {
    this->fake.FindConnection(record.connection->local_port)
        ->responses.push_back({.status = 200, .body = "ok"});
    this->AwaitEnd(record);
  }
  void AwaitEnd(TransferRecorder& record) override {
    while (this->fake.Step()) {
    }
    CPPUNIT_ASSERT_EQUAL(1, record.on_end_calls);
  }

 private:
  StreamClient fake;
};

// Sends requests and checks on which connections they travel.
class ContractCheck {
 public:
  ContractCheck(ContractSubject& subject, RandomSource& random)
      : subject(subject), random(random) {}

  // Returns the first breach of the contract; empty if there is none.
  std::string Run() {
    for (int move = 0; move < kMoves && this->breach.empty(); ++move) {
      if (this->running.size() < kMaxTransfers && this->random.Below(2) == 0) {
        this->Send();
      } else if (!this->running.empty()) {
        this->EndOne();
      }
    }
    while (!this->running.empty()) {
      this->EndOne();
    }
    return this->breach;
  }
  int reuses() const { return this->reuse_count; }

 private:
  struct Carried {
    std::size_t requests = 0;
    std::set<std::string> ids;
    bool idle = false;
    // One of several connections of which the client has closed some.
    bool may_be_closed = false;
  };
  struct Running {
    TransferRecorder* record = nullptr;
    std::shared_ptr<bool> rejects_header;
    std::shared_ptr<Transfer> transfer;
    // A request with an empty id has a connection of its own.
    bool has_empty_id = false;
  };

  void Send() {
    static const std::vector<std::optional<std::string>> kIds = {"a", "b", "c",         "d",
                                                                 "e", "",  std::nullopt};
    const std::optional<std::string> id = kIds[this->random.Below(kIds.size())];
    TransferRecorder& record = this->records.emplace_back();
    HttpClientRequest request{
        .method = "GET", .url = this->subject.url(), .timeout = kTestTimeout, .echoed_id = id};
    TransferCallbacks callbacks = record.Callbacks();
    const auto rejects_header = std::make_shared<bool>(false);
    callbacks.on_headers = [inner = callbacks.on_headers, rejects_header](
                               int status, const HttpHeaders& headers) {
      inner(status, headers);
      return !*rejects_header;
    };
    this->running.push_back({&record, rejects_header,
                             this->subject.client().Start(std::move(request), std::move(callbacks)),
                             id && id->empty()});
    this->subject.AwaitConnection(record);
    this->Judge(id, *record.connection);
  }

  void Judge(const std::optional<std::string>& id, const ConnectionUse& use) {
    std::size_t closed = 0;
    bool any_suitable = false;
    for (auto& [port, carried] : this->connections) {
      const bool is_suitable = !id || (!id->empty() && !carried.ids.contains(*id));
      any_suitable = any_suitable || (carried.idle && !carried.may_be_closed && is_suitable);
      closed += carried.idle && !is_suitable ? 1 : 0;
      carried.may_be_closed =
          carried.may_be_closed || (use.avoided_connections > 0 && !is_suitable);
    }
    if (use.earlier_requests == 0) {
      this->Expect(!any_suitable || (id && id->empty()), "leaves a suitable connection unused");
      this->connections[use.local_port] = {};
    }
    Carried& carried = this->connections[use.local_port];
    this->Expect(use.earlier_requests == carried.requests, "miscounts the earlier requests");
    this->Expect(use.earlier_requests == 0 || carried.idle, "reuses a connection that is not idle");
    this->Expect(!id || !carried.ids.contains(*id), "sends an id twice on a connection");
    this->Expect(!id || !id->empty() || use.earlier_requests == 0, "reuses it without an id");
    this->Expect(use.avoided_connections <= closed, "avoids a suitable connection");
    this->reuse_count += use.earlier_requests > 0 ? 1 : 0;
    ++carried.requests;
    carried.idle = false;
    if (id) {
      carried.ids.insert(*id);
    }
  }

  void EndOne() {
    const auto chosen = this->running.begin() +
                        static_cast<std::ptrdiff_t>(this->random.Below(this->running.size()));
    TransferRecorder& record = *chosen->record;
    const std::uint64_t end = this->random.Below(6);
    const bool is_cancelled = end == 0;
    *chosen->rejects_header = end == 1;
    if (is_cancelled) {
      chosen->transfer->Cancel();
      this->subject.AwaitEnd(record);
    } else {
      this->subject.Answer(record);
    }
    this->connections[record.connection->local_port].idle =
        !is_cancelled && !*chosen->rejects_header && !chosen->has_empty_id;
    this->running.erase(chosen);
  }

  void Expect(bool holds, const std::string& otherwise) {
    if (!holds && this->breach.empty()) {
      this->breach = otherwise;
    }
  }

  ContractSubject& subject;
  RandomSource& random;
  std::list<TransferRecorder> records;
  std::vector<Running> running;
  // By local port; the latest one if a port was used again.
  std::map<int, Carried> connections;
  std::string breach;
  int reuse_count = 0;
};

class StreamClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamClientTest);
  CPPUNIT_TEST(TestRealClientBreaksTheContractOfTheFake);
  CPPUNIT_TEST(TestFakeBreaksTheContractOfTheRealClient);
  CPPUNIT_TEST(TestContractCheckMissesARepeatedId);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a client that does what the model takes for impossible.
  void TestRealClientBreaksTheContractOfTheFake() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomSource random(seed);
      RealSubject subject;
      this->Check(subject, random);
    }
  }

  // Guards against a model of a client that does not exist.
  void TestFakeBreaksTheContractOfTheRealClient() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomSource random(seed);
      FakeSubject subject(random, false);
      this->Check(subject, random);
    }
  }

  // Guards against a check that accepts every client.
  void TestContractCheckMissesARepeatedId() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomSource random(seed);
      FakeSubject subject(random, true);
      CPPUNIT_ASSERT(!ContractCheck(subject, random).Run().empty());
    }
  }

 private:
  static void Check(ContractSubject& subject, RandomSource& random) {
    ContractCheck check(subject, random);
    CPPUNIT_ASSERT_EQUAL(std::string(), check.Run());
    CPPUNIT_ASSERT(check.reuses() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamClientTest);

}  // namespace
}  // namespace pimentopin

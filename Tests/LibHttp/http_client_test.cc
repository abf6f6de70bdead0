#include "Libraries/LibHttp/http_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <list>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

constexpr Duration kLongTimeout = std::chrono::seconds(20);
const std::string kSmallAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(TestWholeAnswerAndConnectionReuse);
  CPPUNIT_TEST(TestChunkedAnswer);
  CPPUNIT_TEST(TestRequestBytes);
  CPPUNIT_TEST(TestHeadAnswerHasNoBody);
  CPPUNIT_TEST(TestInterimAnswersAreSkipped);
  CPPUNIT_TEST(TestRedirectIsNotFollowed);
  CPPUNIT_TEST(TestProxyOfEnvironmentIsIgnored);
  CPPUNIT_TEST(TestShortBodyIsTruncated);
  CPPUNIT_TEST(TestChunkedBodyWithoutEndIsTruncated);
  CPPUNIT_TEST(TestBodyWithoutMarkedEndIsTruncated);
  CPPUNIT_TEST(TestUnmarkedEndIsAcceptedOnRequest);
  CPPUNIT_TEST(TestResetInBodyIsTruncated);
  CPPUNIT_TEST(TestCloseBeforeAnswerIsConnectionLost);
  CPPUNIT_TEST(TestCloseInHeaderIsConnectionLost);
  CPPUNIT_TEST(TestMalformedAnswer);
  CPPUNIT_TEST(TestRefusedConnectionWasNotSent);
  CPPUNIT_TEST(TestConnectTimeoutWasNotSent);
  CPPUNIT_TEST(TestTimeoutAfterSending);
  CPPUNIT_TEST(TestUnsendableHeaderIsRefused);
  CPPUNIT_TEST(TestNoResendWhenReusedConnectionCloses);
  CPPUNIT_TEST(TestNoResendWhenReusedConnectionClosesAndServerIsGone);
  CPPUNIT_TEST(TestConnectionClosedWhileIdleIsReplaced);
  CPPUNIT_TEST(TestCancelClosesConnection);
  CPPUNIT_TEST(TestCancelAfterEndIsIgnored);
  CPPUNIT_TEST(TestPauseBoundsDelivery);
  CPPUNIT_TEST(TestConnectionLimitPerAddress);
  CPPUNIT_TEST(TestDestroyedClientEndsTransfers);
  CPPUNIT_TEST(TestAbortedServerAnswerIsTruncated);
  CPPUNIT_TEST(TestManyTransfersGetTheirOwnAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->client = HttpClient::Create({}); }
  void tearDown() override {
    this->client.reset();
    this->records.clear();
  }

  // Guards against a new connection for every request.
  void TestWholeAnswerAndConnectionReuse() {
    RawServer server(this->context);
    TransferRecord& first = this->Get(server.url("/first"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /first HTTP/1.1\r\n"));
    connection.Send("HTTP/1.1 201 Created\r\nX-Value:  a b \r\nContent-Length: 5\r\n\r\nwhole");
    CPPUNIT_ASSERT(first.Wait());
    CPPUNIT_ASSERT(first.end.error == TransferError::kNone);
    CPPUNIT_ASSERT(first.end.may_have_been_sent);
    CPPUNIT_ASSERT(first.end.elapsed > Duration(0));
    CPPUNIT_ASSERT_EQUAL(201, first.status);
    const HttpHeaders expected{{"X-Value", "a b"}, {"Content-Length", "5"}};
    CPPUNIT_ASSERT(expected == first.headers);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), first.body);
    CPPUNIT_ASSERT_EQUAL(1, first.header_calls);

    TransferRecord& second = this->Get(server.url("/second"));
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /second HTTP/1.1\r\n"));
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), second.body);
  }

  // Guards against chunk framing or trailers that are taken for the body or the header.
  void TestChunkedAnswer() {
    TransferRecord& record = this->Exchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n",
        false);
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), record.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.headers.size());
    CPPUNIT_ASSERT_EQUAL(1, record.header_calls);
  }

  // Guards against headers that libcurl adds and against a wait for "100 Continue".
  void TestRequestBytes() {
    RawServer server(this->context);
    const std::string body(1'500'000, 'b');
    TransferRecord& record = this->Start({.method = "POST",
                                          .url = server.url("/a/../b?q=%2F"),
                                          .headers = {{"X-Empty", ""},
                                                      {"Content-Length", "1"},
                                                      {"Expect", "100-continue"},
                                                      {"X-Name", "value"}},
                                          .body = body,
                                          .timeout = kLongTimeout});
    RawConnection connection = server.Accept();
    std::string received = connection.ReadUntil("\r\n\r\n");
    const std::string head = received.substr(0, received.find("\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL("POST /a/../b?q=%2F HTTP/1.1\r\nHost: " + server.address() +
                             "\r\nX-Empty:\r\nX-Name: value\r\nContent-Length: 1500000",
                         head);
    while (received.size() < head.size() + 4 + body.size()) {
      received += connection.ReadUntil("b");
    }
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
  }

  // Guards against a client that waits for the body of a HEAD answer.
  void TestHeadAnswerHasNoBody() {
    RawServer server(this->context);
    TransferRecord& record =
        this->Start({.method = "HEAD", .url = server.url("/"), .timeout = kLongTimeout});
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("HEAD / "));
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
    CPPUNIT_ASSERT(record.body.empty());
  }

  // Guards against an interim answer that is reported as the final one.
  void TestInterimAnswersAreSkipped() {
    TransferRecord& record = this->Exchange(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kSmallAnswer,
        false);
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(200, record.status);
    CPPUNIT_ASSERT_EQUAL(1, record.header_calls);
    CPPUNIT_ASSERT(FindHeader(record.headers, "link").empty());
  }

  // Guards against a request that is run at a place nobody asked for.
  void TestRedirectIsNotFollowed() {
    TransferRecord& record = this->Exchange(
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", false);
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(302, record.status);
  }

  // Guards against traffic that leaves for a proxy named in the environment.
  void TestProxyOfEnvironmentIsIgnored() {
    setenv("http_proxy", "http://127.0.0.1:1/", 1);
    setenv("ALL_PROXY", "http://127.0.0.1:1/", 1);
    TransferRecord& record = this->Exchange(kSmallAnswer, false);
    unsetenv("http_proxy");
    unsetenv("ALL_PROXY");
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
  }

  // The next four guard against P2: a cut answer that is passed on as a whole one.
  void TestShortBodyIsTruncated() {
    TransferRecord& record =
        this->Exchange("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true);
    this->CheckError(record, TransferError::kTruncated, true);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), record.body);
  }

  void TestChunkedBodyWithoutEndIsTruncated() {
    for (const std::string body : {"", "5\r\n", "5\r\nab", "5\r\nabcde", "5\r\nabcde\r\n",
                                   "5\r\nabcde\r\n0", "5\r\nabcde\r\n0\r\n"}) {
      TransferRecord& record =
          this->Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, true);
      this->CheckError(record, TransferError::kTruncated, true);
    }
  }

  void TestBodyWithoutMarkedEndIsTruncated() {
    TransferRecord& record = this->Exchange("HTTP/1.1 200 OK\r\n\r\nmaybe whole", true);
    this->CheckError(record, TransferError::kTruncated, true);
  }

  // Guards against whole answers that are given up where the peer is known to
  // end them with the connection, and against cut ones that pass for whole.
  void TestUnmarkedEndIsAcceptedOnRequest() {
    for (const bool is_reset : {false, true}) {
      RawServer server(this->context);
      TransferRecord record;
      this->client->Start({.method = "GET",
                           .url = server.url("/"),
                           .timeout = kLongTimeout,
                           .accept_unmarked_end = true},
                          record.Hooks());
      {
        RawConnection connection = server.Accept();
        connection.ReadUntil("\r\n\r\n");
        connection.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
        CPPUNIT_ASSERT(Eventually([&] { return record.body_size() == 5; }));
        if (is_reset) {
          connection.Reset();
        }
      }
      CPPUNIT_ASSERT(record.Wait());
      this->CheckError(record, is_reset ? TransferError::kTruncated : TransferError::kNone, true);
    }
  }
  void TestResetInBodyIsTruncated() {
    RawServer server(this->context);
    TransferRecord& record = this->Get(server.url("/"));
    {
      RawConnection connection = server.Accept();
      connection.ReadUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
      CPPUNIT_ASSERT(Eventually([&] { return record.body_size() == 5; }));
      connection.Reset();
    }
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kTruncated, true);
  }

  // Guards against a possible crash of the target that is taken for a cut answer or a failure to
  // connect.
  void TestCloseBeforeAnswerIsConnectionLost() {
    this->CheckError(this->Exchange("", true), TransferError::kConnectionLost, true);
  }

  void TestCloseInHeaderIsConnectionLost() {
    for (const std::string part :
         {"HTTP/1.1", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n"}) {
      TransferRecord& record = this->Exchange(part, true);
      this->CheckError(record, TransferError::kConnectionLost, true);
      CPPUNIT_ASSERT_EQUAL(0, record.header_calls);
    }
  }

  // Guards against bytes that are no HTTP being taken for an answer.
  void TestMalformedAnswer() {
    this->CheckError(this->Exchange("SSH-2.0-test\r\n\r\n", true), TransferError::kMalformed, true);
  }

  // Guards against P3: "not run" is reported if and only if nothing can have been sent.
  void TestRefusedConnectionWasNotSent() {
    RawServer server(this->context);
    const std::string url = server.url("/");
    server.Close();
    TransferRecord& record = this->Get(url);
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kConnectFailure, false);
  }

  // Guards against a connect time-out that is reported like a time-out after sending, and against
  // the loss of its socket, which once kept the client from ending.
  void TestConnectTimeoutWasNotSent() {
    this->client.reset();
    // The first socket makes the test's own event loop open its descriptors.
    RawServer(this->context).Close();
    const auto open_before = OpenDescriptors();
    this->client = HttpClient::Create({.connect_timeout = std::chrono::milliseconds(100)});
    asio::ip::tcp::acceptor acceptor(this->context);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
    std::ostringstream address;
    address << acceptor.local_endpoint();
    // The kernel drops further connection requests once the queue of the listening socket is full.
    std::list<asio::ip::tcp::socket> queued;
    for (int index = 0; index < 2; ++index) {
      queued.emplace_back(this->context).open(asio::ip::tcp::v4());
      queued.back().non_blocking(true);
      // Asio's connect() would wait for the connection even on a non-blocking socket.
      const auto endpoint = acceptor.local_endpoint();
      ::connect(queued.back().native_handle(), endpoint.data(),
                static_cast<socklen_t>(endpoint.size()));
    }
    TransferRecord& record = this->Get("http://" + address.str() + "/");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kConnectFailure, false);
    this->client.reset();
    acceptor.close();
    queued.clear();
    CPPUNIT_ASSERT_EQUAL(open_before, OpenDescriptors());
  }

  // Guards against a request that waits for ever for a silent target.
  void TestTimeoutAfterSending() {
    RawServer server(this->context);
    TransferRecord& record = this->Start(
        {.method = "GET", .url = server.url("/"), .timeout = std::chrono::milliseconds(100)});
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kTimeout, true);
    CPPUNIT_ASSERT(record.end.elapsed >= std::chrono::milliseconds(100));
    // The target sees that nobody waits for its answer.
    CPPUNIT_ASSERT_EQUAL(std::string(), connection.ReadUntilClosed());
  }

  // Guards against requests hidden in a header value.
  void TestUnsendableHeaderIsRefused() {
    RawServer server(this->context);
    TransferRecord& record = this->Start({.method = "GET",
                                          .url = server.url("/"),
                                          .headers = {{"X-Bad", "a\r\n\r\nGET /hidden HTTP/1.1"}},
                                          .timeout = kLongTimeout});
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kMalformed, false);
  }

  // Guards against P4: libcurl sends a request again on a new connection when the reused one was
  // closed without an answer, and the target then runs it twice.
  void TestNoResendWhenReusedConnectionCloses() {
    RawServer server(this->context);
    {
      RawConnection connection = this->OpenReusableConnection(server);
      TransferRecord& lost = this->Post(server.url("/once"));
      CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /once "));
      connection.Close();
      CPPUNIT_ASSERT(lost.Wait());
      this->CheckError(lost, TransferError::kConnectionLost, true);
    }
    // Whatever connections the client opened since, the first request to arrive is the next one.
    TransferRecord& next = this->Get(server.url("/next"));
    std::string received;
    std::list<RawConnection> connections;
    while (received.empty()) {
      connections.push_back(server.Accept());
      received = connections.back().ReadUntil("\r\n\r\n");
    }
    CPPUNIT_ASSERT(received.starts_with("GET /next "));
    connections.back().Send(kSmallAnswer);
    CPPUNIT_ASSERT(next.Wait());
    CPPUNIT_ASSERT(next.end.error == TransferError::kNone);
  }

  // Guards against P3: the refused second connection must not hide that the first one was used.
  void TestNoResendWhenReusedConnectionClosesAndServerIsGone() {
    RawServer server(this->context);
    RawConnection connection = this->OpenReusableConnection(server);
    server.Close();
    TransferRecord& lost = this->Post("http://" + connection.local_address() + "/once");
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /once "));
    connection.Close();
    CPPUNIT_ASSERT(lost.Wait());
    this->CheckError(lost, TransferError::kConnectionLost, true);
  }

  // Guards against needless failures after a target closed an idle connection.
  void TestConnectionClosedWhileIdleIsReplaced() {
    RawServer server(this->context);
    { RawConnection connection = this->OpenReusableConnection(server); }
    TransferRecord& record = this->Post(server.url("/second"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /second "));
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
  }

  // Guards against targets that work on after the caller gave up.
  void TestCancelClosesConnection() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecord& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    CPPUNIT_ASSERT(Eventually([&] { return record.body_size() == 5; }));
    std::thread([&] { transfer->Cancel(); }).join();
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kCancelled, true);
    CPPUNIT_ASSERT_EQUAL(std::string(), connection.ReadUntilClosed());

    TransferRecord& early =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    transfer->Cancel();
    CPPUNIT_ASSERT(early.Wait());
    CPPUNIT_ASSERT(early.end.error == TransferError::kCancelled);
  }

  // Guards against a second on_end and against a cancel that hits the connection's next user.
  void TestCancelAfterEndIsIgnored() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecord& first =
        this->Start({.method = "GET", .url = server.url("/1"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(first.Wait());
    TransferRecord& second = this->Get(server.url("/2"));
    connection.ReadUntil("\r\n\r\n");
    transfer->Cancel();
    transfer->Resume();
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT(second.end.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(1, first.end_calls);
  }

  // Guards against a slow caller whose answer piles up in memory.
  void TestPauseBoundsDelivery() {
    RawServer server(this->context);
    const std::string body(32 << 20, 'x');
    TransferRecord record;
    TransferHooks hooks = record.Hooks();
    std::promise<std::shared_ptr<Transfer>> handle;
    std::shared_future<std::shared_ptr<Transfer>> transfer = handle.get_future().share();
    std::atomic<int> deliveries = 0;
    hooks.on_body = [&, deliver = hooks.on_body](const std::string& bytes) {
      if (deliveries++ == 0) {
        transfer.get()->Pause();
      }
      deliver(bytes);
    };
    handle.set_value(this->client->Start(
        {.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, std::move(hooks)));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    std::thread sender([&] {
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n");
      connection.Send(body);
    });
    CPPUNIT_ASSERT(Eventually([&] { return deliveries == 1; }));
    // An exchange with another server shows that the client goes on working meanwhile.
    CPPUNIT_ASSERT(this->Exchange(kSmallAnswer, false).end.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(1, deliveries.load());
    transfer.get()->Resume();
    CPPUNIT_ASSERT(record.Wait());
    sender.join();
    CPPUNIT_ASSERT(record.end.error == TransferError::kNone);
    CPPUNIT_ASSERT(record.body == body);
  }

  // Guards against more connections than a target takes, and against a wait for a connection that
  // counts as a failure to connect.
  void TestConnectionLimitPerAddress() {
    this->client = HttpClient::Create(
        {.max_connections_per_address = 1, .connect_timeout = std::chrono::milliseconds(50)});
    RawServer server(this->context);
    TransferRecord& first = this->Get(server.url("/1"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /1 "));
    TransferRecord& second = this->Get(server.url("/2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, second.end_calls);
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(first.Wait());
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /2 "));
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT(second.end.error == TransferError::kNone);

    // A request that times out while it waits for a connection was not sent.
    this->Get(server.url("/3"));
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /3 "));
    TransferRecord& waiting = this->Start(
        {.method = "GET", .url = server.url("/4"), .timeout = std::chrono::milliseconds(100)});
    CPPUNIT_ASSERT(waiting.Wait());
    this->CheckError(waiting, TransferError::kTimeout, false);
  }

  // Guards against hooks that are never called, and against use of a client that is gone.
  void TestDestroyedClientEndsTransfers() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecord& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    this->client.reset();
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kCancelled, true);
    transfer->Cancel();
    transfer->Resume();
    CPPUNIT_ASSERT_EQUAL(1, record.end_calls);
  }

  // Guards against an abort by our server that our client takes for the end.
  void TestAbortedServerAnswerIsTruncated() {
    Error error;
    const auto server = HttpServer::Create(
        {.address = "127.0.0.1:0"},
        [](const HttpServerRequest&, const std::shared_ptr<HttpResponder>& responder) {
          responder->Start(200, {});
          responder->Write("part", [responder] { responder->Abort(); });
        },
        error);
    TransferRecord& record = this->Get("http://" + server->address() + "/");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kTruncated, true);
  }

  // Guards against P2: answers that reach the wrong request under concurrency.
  void TestManyTransfersGetTheirOwnAnswers() {
    Error error;
    const auto server = HttpServer::Create(
        {.address = "127.0.0.1:0", .threads = 2},
        [](const HttpServerRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          if (request.query == "chunked") {
            responder->Start(200, {});
            responder->Write(request.path, nullptr);
            responder->Write(request.body, nullptr);
            responder->End();
          } else {
            responder->Respond(200, {}, request.path + request.body);
          }
        },
        error);
    this->client = HttpClient::Create({.max_connections_per_address = 20});
    std::vector<std::pair<std::string, TransferRecord*>> expected;
    for (int index = 0; index < 500; ++index) {
      const std::string path = "/" + std::to_string(index);
      const std::string body(index * 37, static_cast<char>('a' + index % 26));
      TransferRecord& record = this->Start(
          {.method = "POST",
           .url = "http://" + server->address() + path + (index % 2 == 0 ? "?chunked" : ""),
           .body = body,
           .timeout = kLongTimeout});
      expected.emplace_back(path + body, &record);
    }
    for (const auto& [answer, record] : expected) {
      CPPUNIT_ASSERT(record->Wait());
      CPPUNIT_ASSERT(record->end.error == TransferError::kNone);
      CPPUNIT_ASSERT(record->body == answer);
    }
  }

 private:
  TransferRecord& Start(HttpClientRequest request, std::shared_ptr<Transfer>* transfer = nullptr) {
    TransferRecord& record = this->records.emplace_back();
    const auto started = this->client->Start(std::move(request), record.Hooks());
    if (transfer != nullptr) {
      *transfer = started;
    }
    return record;
  }
  TransferRecord& Get(const std::string& url) {
    return this->Start({.method = "GET", .url = url, .timeout = kLongTimeout});
  }
  TransferRecord& Post(const std::string& url) {
    return this->Start({.method = "POST", .url = url, .timeout = kLongTimeout});
  }

  // One request that is answered with these bytes; `close` closes the connection after them.
  TransferRecord& Exchange(const std::string& answer, bool close) {
    RawServer server(this->context);
    TransferRecord& record = this->Get(server.url("/"));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(answer);
    if (close) {
      connection.CloseSending();
    }
    CPPUNIT_ASSERT(record.Wait());
    return record;
  }

  // A connection that the client has used once and keeps for its next request.
  RawConnection OpenReusableConnection(RawServer& server) {
    TransferRecord& record = this->Get(server.url("/first"));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(kSmallAnswer);
    CPPUNIT_ASSERT(record.Wait());
    return connection;
  }

  static std::ptrdiff_t OpenDescriptors() {
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return std::distance(begin(entries), end(entries));
  }

  static void CheckError(TransferRecord& record, TransferError error, bool may_have_been_sent) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(error), static_cast<int>(record.end.error));
    CPPUNIT_ASSERT_EQUAL(may_have_been_sent, record.end.may_have_been_sent);
    CPPUNIT_ASSERT_EQUAL(1, record.end_calls);
  }

  asio::io_context context;
  // Before the client, because hooks refer to the records.
  std::list<TransferRecord> records;
  std::unique_ptr<HttpClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace pimentopin

#include "Libraries/LibHttp/http_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

// More than the buffers of a loopback connection hold.
constexpr std::size_t kUploadBytes = 8 << 20;
constexpr Duration kLongTimeout = std::chrono::seconds(20);
// A response without end that the client does not recognise as malformed ends with kTimeout.
constexpr Duration kEndlessResponseTimeout = std::chrono::seconds(5);
constexpr std::size_t kTrailerBlockBytes = 256 * 1024;
// A response may keep 128 KiB of lines; libcurl keeps them with several times their size.
constexpr std::size_t kMaxTrailerMemoryBytes = 6 << 20;
const std::string kSmallResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const std::string kAdditionalResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(TestCompleteResponseAndConnectionReuse);
  CPPUNIT_TEST(TestChunkedResponse);
  CPPUNIT_TEST(TestRequestBytes);
  CPPUNIT_TEST(TestHeadResponseHasNoBody);
  CPPUNIT_TEST(TestInterimResponsesAreSkipped);
  CPPUNIT_TEST(TestRedirectIsNotFollowed);
  CPPUNIT_TEST(TestProxyEnvironmentVariablesAreIgnored);
  CPPUNIT_TEST(TestShortBodyIsTruncated);
  CPPUNIT_TEST(TestChunkedBodyWithoutFinalChunkIsTruncated);
  CPPUNIT_TEST(TestCloseDelimitedBodyIsTruncated);
  CPPUNIT_TEST(TestCloseDelimitedBodyIsAcceptedOnRequest);
  CPPUNIT_TEST(TestResetInBodyIsTruncated);
  CPPUNIT_TEST(TestCloseBeforeResponseIsConnectionLost);
  CPPUNIT_TEST(TestCloseInHeaderIsConnectionLost);
  CPPUNIT_TEST(TestHeaderCutAtAnyByteIsConnectionLost);
  CPPUNIT_TEST(TestBodyCutAtAnyByteIsTruncated);
  CPPUNIT_TEST(TestEarlyResponseIsFollowedByTheRestOfTheRequest);
  CPPUNIT_TEST(TestEarlyRefusalEndsTheConnection);
  CPPUNIT_TEST(TestMalformedResponse);
  CPPUNIT_TEST(TestMalformedStatusIsPassedOn);
  CPPUNIT_TEST(TestStatusOfHttpIsMalformed);
  CPPUNIT_TEST(TestSecondStatusLineReplacesTheFirst);
  CPPUNIT_TEST(TestEndlessHeaderFieldsAreMalformed);
  CPPUNIT_TEST(TestEndlessHeaderLineIsMalformed);
  CPPUNIT_TEST(TestEndlessInterimResponsesAreMalformed);
  CPPUNIT_TEST(TestEndlessBytesWithoutStatusLineAreMalformed);
  CPPUNIT_TEST(TestEndlessBytesAfterSwitchingProtocolsAreMalformed);
  CPPUNIT_TEST(TestEndlessChunkExtensionIsMalformed);
  CPPUNIT_TEST(TestEndlessTrailersAreMalformed);
  CPPUNIT_TEST(TestEndlessTrailersFillTheMemory);
  CPPUNIT_TEST(TestEndlessBytesAfterCompleteResponseCloseConnection);
  CPPUNIT_TEST(TestLateAdditionalResponseBelongsToNoRequest);
  CPPUNIT_TEST(TestConnectionOfARejectedResponseIsKept);
  CPPUNIT_TEST(TestConnectionCarriesAnIdTwice);
  CPPUNIT_TEST(TestConnectionOfARequestWithoutIdHasCarriedAnother);
  CPPUNIT_TEST(TestIdsOfAConnectionAreUnbounded);
  CPPUNIT_TEST(TestRefusedConnectionWasNotSent);
  CPPUNIT_TEST(TestConnectTimeoutWasNotSent);
  CPPUNIT_TEST(TestTimeoutAfterSending);
  CPPUNIT_TEST(TestDestructionCrashesIfATimerHasExpired);
  CPPUNIT_TEST(TestBodyInTransferIsCutByTimeoutOfItsHeader);
  CPPUNIT_TEST(TestInvalidHeaderIsRefused);
  CPPUNIT_TEST(TestNoResendWhenReusedConnectionCloses);
  CPPUNIT_TEST(TestNoResendWhenReusedConnectionClosesAndServerStopped);
  CPPUNIT_TEST(TestConnectionClosedWhileIdleIsReplaced);
  CPPUNIT_TEST(TestCancelClosesConnection);
  CPPUNIT_TEST(TestCancelAfterEndIsIgnored);
  CPPUNIT_TEST(TestPauseStopsDelivery);
  CPPUNIT_TEST(TestConnectionLimitPerAddress);
  CPPUNIT_TEST(TestRequestWaitsBehindKeptConnections);
  CPPUNIT_TEST(TestNoConnectionIsKeptWhileManyAreInUse);
  CPPUNIT_TEST(TestDestroyedClientEndsTransfers);
  CPPUNIT_TEST(TestAbortedServerResponseIsTruncated);
  CPPUNIT_TEST(TestConcurrentTransfersReceiveTheirOwnResponses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->client = HttpClient::Create({}); }
  void tearDown() override {
    this->client.reset();
    this->records.clear();
  }

  // Guards against opening a new connection for every request.
  void TestCompleteResponseAndConnectionReuse() {
    RawServer server(this->context);
    TransferRecorder& first = this->Get(server.url("/first"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /first HTTP/1.1\r\n"));
    connection.Send("HTTP/1.1 201 Created\r\nX-Value:  a b \r\nContent-Length: 5\r\n\r\nwhole");
    CPPUNIT_ASSERT(first.Wait());
    CPPUNIT_ASSERT(first.result.error == TransferError::kNone);
    CPPUNIT_ASSERT(first.result.may_have_been_sent);
    CPPUNIT_ASSERT(first.result.elapsed > Duration(0));
    CPPUNIT_ASSERT_EQUAL(201, first.status);
    const HttpHeaders expected{{"X-Value", "a b"}, {"Content-Length", "5"}};
    CPPUNIT_ASSERT(expected == first.headers);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), first.body);
    CPPUNIT_ASSERT_EQUAL(1, first.on_headers_calls);

    CPPUNIT_ASSERT(first.connection && first.connection->earlier_requests == 0);

    TransferRecorder& second = this->Get(server.url("/second"));
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /second HTTP/1.1\r\n"));
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), second.body);
    CPPUNIT_ASSERT(second.connection && second.connection->earlier_requests > 0);
  }

  // Guards against treating chunk framing as body bytes or trailers as headers.
  void TestChunkedResponse() {
    TransferRecorder& record = this->Exchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n",
        false);
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), record.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.headers.size());
    CPPUNIT_ASSERT_EQUAL(1, record.on_headers_calls);
  }

  // Guards against headers added by libcurl and against waiting for "100 Continue".
  void TestRequestBytes() {
    RawServer server(this->context);
    const std::string body(1'500'000, 'b');
    TransferRecorder& record = this->Start({.method = "POST",
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
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
  }

  // Guards against waiting for a body in the response to HEAD.
  void TestHeadResponseHasNoBody() {
    RawServer server(this->context);
    TransferRecorder& record =
        this->Start({.method = "HEAD", .url = server.url("/"), .timeout = kLongTimeout});
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("HEAD / "));
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
    CPPUNIT_ASSERT(record.body.empty());
  }

  // Guards against reporting an interim response as the final one.
  void TestInterimResponsesAreSkipped() {
    TransferRecorder& record = this->Exchange(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kSmallResponse,
        false);
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(200, record.status);
    CPPUNIT_ASSERT_EQUAL(1, record.on_headers_calls);
    CPPUNIT_ASSERT(FindHeader(record.headers, "link").empty());
  }

  // Guards against following a redirect to an address that the caller did not request.
  void TestRedirectIsNotFollowed() {
    TransferRecorder& record = this->Exchange(
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", false);
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(302, record.status);
  }

  // Guards against sending requests to a proxy configured in the environment.
  void TestProxyEnvironmentVariablesAreIgnored() {
    setenv("http_proxy", "http://127.0.0.1:1/", 1);
    setenv("ALL_PROXY", "http://127.0.0.1:1/", 1);
    TransferRecorder& record = this->Exchange(kSmallResponse, false);
    unsetenv("http_proxy");
    unsetenv("ALL_PROXY");
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
  }

  // This test, the next two and TestResetInBodyIsTruncated check property P2 (docs/design.md): a
  // truncated response is never passed on as a complete one.
  void TestShortBodyIsTruncated() {
    TransferRecorder& record =
        this->Exchange("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true);
    this->CheckError(record, TransferError::kTruncated, true);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), record.body);
  }

  void TestChunkedBodyWithoutFinalChunkIsTruncated() {
    for (const std::string body : {"", "5\r\n", "5\r\nab", "5\r\nabcde", "5\r\nabcde\r\n",
                                   "5\r\nabcde\r\n0", "5\r\nabcde\r\n0\r\n"}) {
      TransferRecorder& record =
          this->Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, true);
      this->CheckError(record, TransferError::kTruncated, true);
    }
  }

  void TestCloseDelimitedBodyIsTruncated() {
    TransferRecorder& record = this->Exchange("HTTP/1.1 200 OK\r\n\r\nmaybe whole", true);
    this->CheckError(record, TransferError::kTruncated, true);
  }

  // Guards against reporting a close-delimited response as truncated where the request accepts one,
  // and against reporting a reset response as complete.
  void TestCloseDelimitedBodyIsAcceptedOnRequest() {
    for (const bool is_reset : {false, true}) {
      RawServer server(this->context);
      TransferRecorder record;
      this->client->Start({.method = "GET",
                           .url = server.url("/"),
                           .timeout = kLongTimeout,
                           .accept_close_delimited_body = true},
                          record.Callbacks());
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
    TransferRecorder& record = this->Get(server.url("/"));
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

  // Guards against reporting a possible crash of the target as a truncated response or as a connect
  // failure.
  void TestCloseBeforeResponseIsConnectionLost() {
    this->CheckError(this->Exchange("", true), TransferError::kConnectionLost, true);
  }

  void TestCloseInHeaderIsConnectionLost() {
    for (const std::string part :
         {"HTTP/1.1", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n"}) {
      TransferRecorder& record = this->Exchange(part, true);
      this->CheckError(record, TransferError::kConnectionLost, true);
      CPPUNIT_ASSERT_EQUAL(0, record.on_headers_calls);
    }
  }

  // Guards against a response that stops in its header and is passed on as complete, with an empty
  // body or one that its connection ends.
  void TestHeaderCutAtAnyByteIsConnectionLost() {
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Seal: 3e1b.07\r\nContent-Length: 10\r\nKeep-Alive: timeout=9\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      RawServer server(this->context);
      TransferRecorder& record = this->Start({.method = "GET",
                                              .url = server.url("/"),
                                              .timeout = kLongTimeout,
                                              .accept_close_delimited_body = true});
      RawConnection connection = server.Accept();
      connection.ReadUntil("\r\n\r\n");
      connection.Send(head.substr(0, length));
      connection.ShutdownSend();
      CPPUNIT_ASSERT(record.Wait());
      CPPUNIT_ASSERT(record.result.error != TransferError::kNone);
      CPPUNIT_ASSERT_EQUAL(0, record.on_headers_calls);
    }
  }

  // Guards against a body that stops at any byte and counts as complete.
  void TestBodyCutAtAnyByteIsTruncated() {
    // The last chunk is complete with the CR of the line that ends the trailers.
    for (const std::string response : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
                                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                       "chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r"}) {
      for (std::size_t length = response.find("\r\n\r\n") + 4; length < response.size(); ++length) {
        TransferRecorder& record = this->Exchange(response.substr(0, length), true);
        CPPUNIT_ASSERT_MESSAGE(response.substr(0, length),
                               record.result.error == TransferError::kTruncated);
      }
    }
  }

  // A target may respond before it has read the request and read on later. Guards against bytes of
  // the next request where it expects the rest of this one.
  void TestEarlyResponseIsFollowedByTheRestOfTheRequest() {
    RawServer server(this->context);
    std::string body;
    while (body.size() < kUploadBytes) {
      body += std::to_string(body.size()) + ",";
    }
    TransferRecorder& record = this->Start(
        {.method = "POST", .url = server.url("/upload"), .body = body, .timeout = kLongTimeout});
    RawConnection connection = server.Accept();
    std::string received = connection.ReadUntil("\r\n\r\n");
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(Eventually([&] { return record.has_headers(); }));
    TransferRecorder& next = this->Get(server.url("/next"));
    RawConnection other = server.Accept();
    other.ReadUntil("\r\n\r\n");
    other.Send(kSmallResponse);
    CPPUNIT_ASSERT(next.Wait());
    const std::size_t total = received.find("\r\n\r\n") + 4 + body.size();
    while (received.size() < total) {
      received += connection.ReadUntil(",");
    }
    CPPUNIT_ASSERT(received.ends_with("\r\n\r\n" + body));
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
  }

  // Guards against a connection that is used again although its target has not read the request
  // that it refused.
  void TestEarlyRefusalEndsTheConnection() {
    RawServer server(this->context);
    const std::string body(kUploadBytes, 'u');
    TransferRecorder& record = this->Start(
        {.method = "POST", .url = server.url("/upload"), .body = body, .timeout = kLongTimeout});
    RawConnection connection = server.Accept();
    std::string received = connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT_EQUAL(503, record.status);
    received += connection.ReadUntilClosed();
    const std::string sent_body = received.substr(received.find("\r\n\r\n") + 4);
    CPPUNIT_ASSERT(body.starts_with(sent_body));
    this->Get(server.url("/next"));
    server.Accept();
  }

  // Guards against accepting bytes that are not HTTP as a response.
  void TestMalformedResponse() {
    this->CheckError(this->Exchange("SSH-2.0-test\r\n\r\n", true), TransferError::kMalformed, true);
  }

  // Guards against passing on a response whose status HTTP does not define, and against using its
  // connection again.
  void TestMalformedStatusIsPassedOn() {
    const std::vector<std::string> status_lines{"HTTP/1.1 000 Unknown",
                                                "HTTP/1.1 099 Unknown",
                                                "HTTP/1.1 20 OK",
                                                "HTTP/1.1 2000 OK",
                                                "HTTP/1.1 -200 OK",
                                                "HTTP/1.1 +200 OK",
                                                "HTTP/1.1 0200 OK",
                                                "HTTP/1.1 0x200 OK",
                                                "HTTP/1.1 200x OK",
                                                "HTTP/1.1 20O OK",
                                                "HTTP/1.1 200.0 OK",
                                                "HTTP/1.1 200, OK",
                                                "HTTP/1.1  200 OK",
                                                "HTTP/1.1 2 00 OK",
                                                "HTTP/1.1 abc OK",
                                                "HTTP/1.1 OK",
                                                "HTTP/1.1 ",
                                                "HTTP/1.1",
                                                "HTTP 200 OK",
                                                "HTTP/1.1 101 Switch",
                                                "HTTP/1.1 600 Unknown",
                                                "HTTP/1.1 999 Unknown",
                                                "HTTP/1.1 1000 OK",
                                                "HTTP/1.1 65736 OK",
                                                "HTTP/1.1 4294967496 OK"};
    std::string failures;
    for (const std::string& status_line : status_lines) {
      for (const std::string body :
           {"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "\r\nok"}) {
        for (const std::string before :
             {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}) {
          const std::string response = before + status_line + "\r\n" + body;
          for (const int good_responses : {0, 2}) {
            const std::string failure = this->BelievedOf(response, good_responses);
            if (!failure.empty()) {
              failures += "\n" + std::to_string(good_responses) + " good responses, then " +
                          response.substr(0, response.find("\r\n\r\nok")) + ": " + failure;
            }
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against refusing statuses that HTTP defines, with or without a reason.
  void TestStatusOfHttpIsMalformed() {
    for (const auto& [status_line, status] :
         std::vector<std::pair<std::string, int>>{{"HTTP/1.1 200 OK", 200},
                                                  {"HTTP/1.1 200 ", 200},
                                                  {"HTTP/1.1 200", 200},
                                                  {"HTTP/1.0 299 0", 299},
                                                  {"HTTP/1.1 418 I'm a teapot", 418},
                                                  {"HTTP/1.1 599 Unknown", 599}}) {
      TransferRecorder& record = this->Exchange(
          "HTTP/1.1 199 Unknown\r\n\r\n" + status_line + "\r\nContent-Length: 2\r\n\r\nok", true);
      this->CheckError(record, TransferError::kNone, true);
      CPPUNIT_ASSERT_EQUAL(status, record.status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), record.body);
    }
  }

  // Guards against a status line among the header fields: libcurl reads the body that the first one
  // implies, and the second one would be passed on.
  void TestSecondStatusLineReplacesTheFirst() {
    std::string failures;
    for (const std::string first : {"HTTP/1.1 204 No Content", "HTTP/1.1 500 Error"}) {
      for (const std::string second : {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK: x", "HTTP/2: 200"}) {
        for (const std::string between : {"", "X-Field: value\r\n"}) {
          const std::string response = first + "\r\n" + between + second;
          const std::string failure =
              this->BelievedOf(response + "\r\nContent-Length: 2\r\n\r\nok", 0);
          if (!failure.empty()) {
            failures += "\n" + response + ": " + failure;
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // This test and the next three guard against reading a head without end until the timeout, and
  // against reporting the connection that the client closes as a crash of the peer.
  void TestEndlessHeaderFieldsAreMalformed() {
    this->CheckEndlessHead("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
  }

  void TestEndlessHeaderLineIsMalformed() {
    this->CheckEndlessHead("HTTP/1.1 200 OK\r\nX-Field: ", "value");
    this->CheckEndlessHead("HTTP/1.1 200 ", "reason");
  }

  void TestEndlessInterimResponsesAreMalformed() {
    this->CheckEndlessHead("", "HTTP/1.1 100 Continue\r\n\r\n");
    this->CheckEndlessHead("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
  }

  void TestEndlessBytesWithoutStatusLineAreMalformed() {
    this->CheckEndlessHead("", "no response\r\n");
    this->CheckEndlessHead("", "\r\n");
    this->CheckEndlessHead("", std::string(1000, '\0'));
  }

  // Guards against passing on bytes of another protocol as a body without a header.
  void TestEndlessBytesAfterSwitchingProtocolsAreMalformed() {
    this->CheckEndlessHead("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "bytes");
    this->CheckEndlessHead("HTTP/1.1 099 Unknown\r\n\r\n", "bytes");
  }

  // Guards against reading a chunk extension without end until the timeout.
  void TestEndlessChunkExtensionIsMalformed() {
    this->CheckEndlessChunkFraming("4;name=", "value");
    this->CheckEndlessChunkFraming("0;name=", "value");
  }

  // Guards against reading trailers without end until the timeout.
  void TestEndlessTrailersAreMalformed() {
    this->CheckEndlessChunkFraming("0\r\n", "X-Trailer: value\r\n");
    // libcurl's limit on a trailer line is reported like a reset of the connection.
    this->CheckEndlessChunkFraming("0\r\nX-Trailer: ", "value", TransferError::kTruncated);
  }

  // Guards against keeping trailers of megabytes, each line with many times its size, before the
  // response counts as malformed.
  void TestEndlessTrailersFillTheMemory() {
    std::string trailers;
    while (trailers.size() < kTrailerBlockBytes) {
      trailers += "X-T: v\r\n";
    }
    const std::size_t before = ResetPeakMemory();
    this->CheckEndlessChunkFraming("0\r\n", trailers);
    CPPUNIT_ASSERT(PeakMemory() < before + kMaxTrailerMemoryBytes);
  }

  // Guards against keeping a connection on which a peer sends bytes that belong to no request.
  void TestEndlessBytesAfterCompleteResponseCloseConnection() {
    for (const std::string method : {"GET", "HEAD"}) {
      for (const std::string& response :
           {kSmallResponse, std::string("HTTP/1.1 204 No Content\r\n\r\n"),
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")}) {
        RawServer server(this->context);
        TransferRecorder& record =
            this->Start({.method = method, .url = server.url("/"), .timeout = kLongTimeout});
        RawConnection connection = server.Accept();
        connection.ReadUntil("\r\n\r\n");
        connection.Send(response + kAdditionalResponse);
        CPPUNIT_ASSERT(connection.SendUntilClosed(kAdditionalResponse));
        CPPUNIT_ASSERT(record.Wait());
        this->CheckError(record, TransferError::kNone, true);
        CPPUNIT_ASSERT(record.body == "" || record.body == "ok");
      }
    }
  }

  // Property P2 (docs/design.md): a second response that arrives after the end of the first must
  // not be taken for the response to the next request on that connection.
  void TestLateAdditionalResponseBelongsToNoRequest() {
    RawServer server(this->context);
    RawConnection connection = this->OpenReusableConnection(server);
    connection.Send(kAdditionalResponse);
    TransferRecorder& next = this->Post(server.url("/next"));
    CPPUNIT_ASSERT(Eventually([&] { return server.HasPendingConnection() || next.has_headers(); }));
    CPPUNIT_ASSERT(!next.has_headers());
    RawConnection replacement = server.Accept();
    CPPUNIT_ASSERT(replacement.ReadUntil("\r\n\r\n").starts_with("POST /next "));
    replacement.Send(kSmallResponse);
    CPPUNIT_ASSERT(next.Wait());
    this->CheckError(next, TransferError::kNone, true);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), next.body);
    CPPUNIT_ASSERT(connection.SendUntilClosed(kAdditionalResponse));
  }

  // Guards against a connection that stays one response behind: the response to the request itself
  // would be taken for the response to the next one.
  void TestConnectionOfARejectedResponseIsKept() {
    RawServer server(this->context);
    RawConnection connection = this->OpenReusableConnection(server);
    TransferRecorder& rejected = this->records.emplace_back();
    rejected.rejects = true;
    this->client->Start({.method = "GET", .url = server.url("/rejected"), .timeout = kLongTimeout},
                        rejected.Callbacks());
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /rejected "));
    connection.Send(kAdditionalResponse);
    CPPUNIT_ASSERT(rejected.Wait());
    this->CheckError(rejected, TransferError::kRejected, true);
    CPPUNIT_ASSERT_EQUAL(std::string(), rejected.body);
    TransferRecorder& next = this->Get(server.url("/next"));
    CPPUNIT_ASSERT(Eventually([&] { return server.HasPendingConnection(); }));
    RawConnection replacement = server.Accept();
    this->Answer(replacement, next);
    CPPUNIT_ASSERT(connection.SendUntilClosed(kSmallResponse));
  }

  // Guards against a late copy of a response to a request that is sent once more: nothing tells it
  // from the response to the second attempt.
  void TestConnectionCarriesAnIdTwice() {
    RawServer server(this->context);
    TransferRecorder& first = this->GetWithId(server.url("/first"), "a");
    RawConnection connection = server.Accept();
    this->Answer(connection, first);
    TransferRecorder& other = this->GetWithId(server.url("/other"), "b");
    this->Answer(connection, other);
    const ConnectionUse expected{.local_port = first.connection->local_port, .earlier_requests = 1};
    CPPUNIT_ASSERT(other.connection == expected);

    TransferRecorder& again = this->GetWithId(server.url("/again"), "a");
    CPPUNIT_ASSERT(Eventually([&] { return server.HasPendingConnection(); }));
    RawConnection replacement = server.Accept();
    this->Answer(replacement, again);
    CPPUNIT_ASSERT(again.connection->local_port != first.connection->local_port);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, again.connection->earlier_requests);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.connection->avoided_connections);
    CPPUNIT_ASSERT(connection.ReadUntilClosed().empty());
    TransferRecorder& next = this->GetWithId(server.url("/next"), "b");
    this->Answer(replacement, next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.connection->earlier_requests);
  }

  // Guards against a late response without an id: only on a connection that has carried nothing
  // else does it belong to a request without one. Such connections must not add up either.
  void TestConnectionOfARequestWithoutIdHasCarriedAnother() {
    RawServer server(this->context);
    TransferRecorder& first = this->GetWithId(server.url("/first"), "a");
    RawConnection connection = server.Accept();
    this->Answer(connection, first);
    for (int count = 0; count < 2; ++count) {
      TransferRecorder& unnamed = this->GetWithId(server.url("/unnamed"), "");
      CPPUNIT_ASSERT(Eventually([&] { return server.HasPendingConnection(); }));
      RawConnection other = server.Accept();
      this->Answer(other, unnamed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unnamed.connection->earlier_requests);
      CPPUNIT_ASSERT(Eventually([&] { return other.IsClosedByPeer(); }));
    }
  }

  // Guards against memory that grows for as long as a connection is used.
  void TestIdsOfAConnectionAreUnbounded() {
    constexpr int kRequests = 600;
    RawServer server(this->context);
    std::list<RawConnection> connections;
    for (int count = 0; count < kRequests; ++count) {
      TransferRecorder& record = this->GetWithId(server.url("/"), std::to_string(count));
      CPPUNIT_ASSERT(Eventually([&] { return record.has_connection(); }));
      if (record.connection->earlier_requests == 0) {
        connections.push_back(server.Accept());
      }
      this->Answer(connections.back(), record);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, connections.size());
  }

  // Property P3 (docs/design.md): "not run" is reported if and only if nothing can have been sent.
  void TestRefusedConnectionWasNotSent() {
    RawServer server(this->context);
    const std::string url = server.url("/");
    server.Close();
    TransferRecorder& record = this->Get(url);
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kConnectFailure, false);
  }

  // Guards against reporting a connect timeout like a timeout after sending, and against leaking
  // the socket, which kept the client from shutting down.
  void TestConnectTimeoutWasNotSent() {
    this->client.reset();
    // The first socket makes the test's own event loop open its descriptors.
    RawServer(this->context).Close();
    const auto descriptors_before = CountOpenDescriptors();
    this->client = HttpClient::Create({.connect_timeout = std::chrono::milliseconds(100)});
    asio::ip::tcp::acceptor acceptor(this->context);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
    std::ostringstream address;
    address << acceptor.local_endpoint();
    // The kernel drops further connection attempts once the accept queue is full.
    std::list<asio::ip::tcp::socket> queued;
    for (int index = 0; index < 2; ++index) {
      queued.emplace_back(this->context).open(asio::ip::tcp::v4());
      queued.back().non_blocking(true);
      // Asio's connect() waits for the connection even on a non-blocking socket.
      const auto endpoint = acceptor.local_endpoint();
      ::connect(queued.back().native_handle(), endpoint.data(),
                static_cast<socklen_t>(endpoint.size()));
    }
    TransferRecorder& record = this->Get("http://" + address.str() + "/");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kConnectFailure, false);
    this->client.reset();
    acceptor.close();
    queued.clear();
    CPPUNIT_ASSERT_EQUAL(descriptors_before, CountOpenDescriptors());
  }

  // Guards against waiting indefinitely for an unresponsive target.
  void TestTimeoutAfterSending() {
    RawServer server(this->context);
    TransferRecorder& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = std::chrono::seconds(1)});
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kTimeout, true);
    CPPUNIT_ASSERT(record.result.elapsed >= std::chrono::seconds(1));
    // The target detects that the request has been cancelled.
    CPPUNIT_ASSERT_EQUAL(std::string(), connection.ReadUntilClosed());
  }

  // Guards against a crash of a stopping host whose client is destroyed while the handler of an
  // expired timer is queued.
  void TestDestructionCrashesIfATimerHasExpired() {
    RawServer server(this->context);
    auto client = HttpClient::Create({});
    std::promise<void> destroying;
    std::promise<void> blocked;
    TransferCallbacks callbacks;
    callbacks.on_headers = [&](int, const HttpHeaders&) {
      blocked.set_value();
      destroying.get_future().wait();
      // Lets the timer of the other transfer expire and the destructor post its task meanwhile.
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      return true;
    };
    callbacks.on_body = [](const std::string&) {};
    callbacks.on_end = [](const TransferResult&) {};
    callbacks.on_connection = [](const ConnectionUse&) {};
    TransferCallbacks ignored;
    ignored.on_headers = [](int, const HttpHeaders&) { return true; };
    ignored.on_body = callbacks.on_body;
    ignored.on_end = callbacks.on_end;
    ignored.on_connection = callbacks.on_connection;
    const auto answered =
        client->Start({.method = "GET", .url = server.url("/"), .timeout = std::chrono::seconds(9)},
                      std::move(callbacks));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    const auto silent = client->Start(
        {.method = "GET", .url = server.url("/"), .timeout = std::chrono::milliseconds(300)},
        std::move(ignored));
    RawConnection other = server.Accept();
    other.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
    blocked.get_future().wait();
    destroying.set_value();
    client.reset();
  }

  // Guards against large responses that a thin link can never transfer in time.
  void TestBodyInTransferIsCutByTimeoutOfItsHeader() {
    RawServer server(this->context);
    const HttpClientRequest request{.method = "GET",
                                    .url = server.url("/"),
                                    .timeout = std::chrono::seconds(1),
                                    .body_timeout = std::chrono::seconds(1)};
    TransferRecorder& slow = this->Start(request);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfirs");
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(0, slow.on_end_calls);
    connection.Send("t 8.");
    CPPUNIT_ASSERT(slow.Wait());
    CPPUNIT_ASSERT(slow.result.error == TransferError::kNone);

    TransferRecorder& stuck = this->Start(request);
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfirs");
    CPPUNIT_ASSERT(stuck.Wait());
    CPPUNIT_ASSERT(stuck.result.elapsed >= std::chrono::seconds(2));
    CPPUNIT_ASSERT(stuck.result.error == TransferError::kTimeout);
  }

  // Guards against request smuggling through a header value.
  void TestInvalidHeaderIsRefused() {
    RawServer server(this->context);
    TransferRecorder& record = this->Start({.method = "GET",
                                            .url = server.url("/"),
                                            .headers = {{"X-Bad", "a\r\n\r\nGET /hidden HTTP/1.1"}},
                                            .timeout = kLongTimeout});
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kMalformed, false);
  }

  // Property P4 (docs/design.md): libcurl resends a request on a new connection when the reused one
  // was closed without a response, and the target would execute the request twice.
  void TestNoResendWhenReusedConnectionCloses() {
    RawServer server(this->context);
    {
      RawConnection connection = this->OpenReusableConnection(server);
      TransferRecorder& lost = this->Post(server.url("/once"));
      CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /once "));
      connection.Close();
      CPPUNIT_ASSERT(lost.Wait());
      this->CheckError(lost, TransferError::kConnectionLost, true);
    }
    // The client may have opened further connections; the first request to arrive must be the next
    // one.
    TransferRecorder& next = this->Get(server.url("/next"));
    std::string received;
    std::list<RawConnection> connections;
    while (received.empty()) {
      connections.push_back(server.Accept());
      received = connections.back().ReadUntil("\r\n\r\n");
    }
    CPPUNIT_ASSERT(received.starts_with("GET /next "));
    connections.back().Send(kSmallResponse);
    CPPUNIT_ASSERT(next.Wait());
    CPPUNIT_ASSERT(next.result.error == TransferError::kNone);
  }

  // Property P3 (docs/design.md): a refused second connection must not hide that the request was
  // sent on the first.
  void TestNoResendWhenReusedConnectionClosesAndServerStopped() {
    RawServer server(this->context);
    RawConnection connection = this->OpenReusableConnection(server);
    server.Close();
    TransferRecorder& lost = this->Post("http://" + connection.local_address() + "/once");
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /once "));
    connection.Close();
    CPPUNIT_ASSERT(lost.Wait());
    this->CheckError(lost, TransferError::kConnectionLost, true);
  }

  // Guards against unnecessary failures after a target has closed an idle connection.
  void TestConnectionClosedWhileIdleIsReplaced() {
    RawServer server(this->context);
    { RawConnection connection = this->OpenReusableConnection(server); }
    TransferRecorder& record = this->Post(server.url("/second"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("POST /second "));
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
  }

  // Guards against targets that continue to process a request after the caller has cancelled it.
  void TestCancelClosesConnection() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecorder& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    CPPUNIT_ASSERT(Eventually([&] { return record.body_size() == 5; }));
    std::thread([&] { transfer->Cancel(); }).join();
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kCancelled, true);
    CPPUNIT_ASSERT_EQUAL(std::string(), connection.ReadUntilClosed());

    TransferRecorder& early =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    transfer->Cancel();
    CPPUNIT_ASSERT(early.Wait());
    CPPUNIT_ASSERT(early.result.error == TransferError::kCancelled);
  }

  // Guards against a second call of on_end and against cancelling the next transfer on the same
  // connection.
  void TestCancelAfterEndIsIgnored() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecorder& first =
        this->Start({.method = "GET", .url = server.url("/1"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(first.Wait());
    TransferRecorder& second = this->Get(server.url("/2"));
    connection.ReadUntil("\r\n\r\n");
    transfer->Cancel();
    transfer->Resume();
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT(second.result.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(1, first.on_end_calls);
  }

  // Guards against unbounded buffering of a response for a slow caller.
  void TestPauseStopsDelivery() {
    RawServer server(this->context);
    const std::string body(32 << 20, 'x');
    TransferRecorder record;
    TransferCallbacks callbacks = record.Callbacks();
    std::promise<std::shared_ptr<Transfer>> handle;
    std::shared_future<std::shared_ptr<Transfer>> transfer = handle.get_future().share();
    std::atomic<int> deliveries = 0;
    callbacks.on_body = [&, deliver = callbacks.on_body](const std::string& bytes) {
      if (deliveries++ == 0) {
        transfer.get()->Pause();
      }
      deliver(bytes);
    };
    handle.set_value(this->client->Start(
        {.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, std::move(callbacks)));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    std::thread sender([&] {
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n");
      connection.Send(body);
    });
    CPPUNIT_ASSERT(Eventually([&] { return deliveries == 1; }));
    // A request to another server shows that the client still processes transfers.
    CPPUNIT_ASSERT(this->Exchange(kSmallResponse, false).result.error == TransferError::kNone);
    CPPUNIT_ASSERT_EQUAL(1, deliveries.load());
    transfer.get()->Resume();
    CPPUNIT_ASSERT(record.Wait());
    sender.join();
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
    CPPUNIT_ASSERT(record.body == body);
  }

  // Guards against opening more connections than a target accepts, and against counting the wait
  // for a free connection as connect time.
  void TestConnectionLimitPerAddress() {
    this->client = HttpClient::Create(
        {.max_connections_per_address = 1, .connect_timeout = std::chrono::milliseconds(50)});
    RawServer server(this->context);
    TransferRecorder& first = this->Get(server.url("/1"));
    RawConnection connection = server.Accept();
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /1 "));
    TransferRecorder& second = this->Get(server.url("/2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, second.on_end_calls);
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(first.Wait());
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /2 "));
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT(second.result.error == TransferError::kNone);

    // A request that times out while waiting for a connection was not sent.
    this->Get(server.url("/3"));
    CPPUNIT_ASSERT(connection.ReadUntil("\r\n\r\n").starts_with("GET /3 "));
    TransferRecorder& waiting = this->Start(
        {.method = "GET", .url = server.url("/4"), .timeout = std::chrono::milliseconds(100)});
    CPPUNIT_ASSERT(waiting.Wait());
    this->CheckError(waiting, TransferError::kTimeout, false);
  }

  // Guards against requests that wait for a connection while responses without end hold those that
  // may be kept, and against keeping more connections than allowed.
  void TestRequestWaitsBehindKeptConnections() {
    this->client = HttpClient::Create(
        {.max_connections_per_address = 0, .max_kept_connections_per_address = 2});
    RawServer server(this->context);
    std::vector<RawConnection> connections;
    std::vector<TransferRecorder*> transfers;
    for (int index = 0; index < 4; ++index) {
      transfers.push_back(&this->Get(server.url("/first")));
      connections.push_back(server.Accept());
      CPPUNIT_ASSERT(connections.back().ReadUntil("\r\n\r\n").starts_with("GET /first "));
    }
    for (std::size_t index = 0; index < connections.size(); ++index) {
      connections[index].Send(kSmallResponse);
      CPPUNIT_ASSERT(transfers[index]->Wait());
      CPPUNIT_ASSERT(transfers[index]->result.error == TransferError::kNone);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), connections[2].ReadUntilClosed());
    CPPUNIT_ASSERT_EQUAL(std::string(), connections[3].ReadUntilClosed());

    // The connections of ended requests count no longer.
    TransferRecorder& third = this->Get(server.url("/later"));
    TransferRecorder& fourth = this->Get(server.url("/later"));
    for (std::size_t index = 0; index < 2; ++index) {
      CPPUNIT_ASSERT(connections[index].ReadUntil("\r\n\r\n").starts_with("GET /later "));
    }
    connections[0].Send(kSmallResponse);
    connections[1].Send(kSmallResponse);
    CPPUNIT_ASSERT(third.Wait());
    CPPUNIT_ASSERT(fourth.Wait());
    CPPUNIT_ASSERT(third.connection && third.connection->earlier_requests > 0);
    CPPUNIT_ASSERT(fourth.connection && fourth.connection->earlier_requests > 0);
  }

  // Guards against a new connection for each request to an address that always has more active
  // requests than connections may be kept.
  void TestNoConnectionIsKeptWhileManyAreInUse() {
    this->client = HttpClient::Create(
        {.max_connections_per_address = 0, .max_kept_connections_per_address = 1});
    RawServer server(this->context);
    TransferRecorder& first = this->Get(server.url("/1"));
    RawConnection kept = server.Accept();
    CPPUNIT_ASSERT(kept.ReadUntil("\r\n\r\n").starts_with("GET /1 "));
    this->Get(server.url("/endless"));
    RawConnection other = server.Accept();
    CPPUNIT_ASSERT(other.ReadUntil("\r\n\r\n").starts_with("GET /endless "));
    kept.Send(kSmallResponse);
    CPPUNIT_ASSERT(first.Wait());
    for (const std::string path : {"/2", "/3"}) {
      TransferRecorder& next = this->Get(server.url(path));
      CPPUNIT_ASSERT(kept.ReadUntil("\r\n\r\n").starts_with("GET " + path + " "));
      kept.Send(kSmallResponse);
      CPPUNIT_ASSERT(next.Wait());
      CPPUNIT_ASSERT(next.connection && next.connection->earlier_requests > 0);
    }
  }

  // Guards against callbacks that are never called and against using a destroyed client.
  void TestDestroyedClientEndsTransfers() {
    RawServer server(this->context);
    std::shared_ptr<Transfer> transfer;
    TransferRecorder& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kLongTimeout}, &transfer);
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    this->client.reset();
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kCancelled, true);
    transfer->Cancel();
    transfer->Resume();
    CPPUNIT_ASSERT_EQUAL(1, record.on_end_calls);
  }

  // Guards against the client accepting a response that the server aborted as complete.
  void TestAbortedServerResponseIsTruncated() {
    Error error;
    const auto server = HttpServer::Create(
        {.address = "127.0.0.1:0"},
        [](const HttpServerRequest&, const std::shared_ptr<HttpResponder>& responder) {
          responder->Start(200, {});
          responder->Write("part", [responder] { responder->Abort(); });
        },
        error);
    TransferRecorder& record = this->Get("http://" + server->address() + "/");
    CPPUNIT_ASSERT(record.Wait());
    this->CheckError(record, TransferError::kTruncated, true);
  }

  // Property P2 (docs/design.md): under concurrency, every request receives its own response.
  void TestConcurrentTransfersReceiveTheirOwnResponses() {
    Error error;
    const auto server = HttpServer::Create(
        {.address = "127.0.0.1:0", .threads = 2},
        [](const HttpServerRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          if (request.query == "chunked") {
            responder->Start(200, {});
            responder->Write(request.path, nullptr);
            responder->Write(request.body.text(), nullptr);
            responder->End();
          } else {
            responder->Respond(200, {}, request.path + request.body.text());
          }
        },
        error);
    this->client = HttpClient::Create({.max_connections_per_address = 20});
    std::vector<std::pair<std::string, TransferRecorder*>> expected;
    for (int index = 0; index < 500; ++index) {
      const std::string path = "/" + std::to_string(index);
      const std::string body(index * 37, static_cast<char>('a' + index % 26));
      TransferRecorder& record = this->Start(
          {.method = "POST",
           .url = "http://" + server->address() + path + (index % 2 == 0 ? "?chunked" : ""),
           .body = body,
           .timeout = kLongTimeout});
      expected.emplace_back(path + body, &record);
    }
    for (const auto& [response, record] : expected) {
      CPPUNIT_ASSERT(record->Wait());
      CPPUNIT_ASSERT(record->result.error == TransferError::kNone);
      CPPUNIT_ASSERT(record->body == response);
    }
  }

 private:
  TransferRecorder& Start(HttpClientRequest request,
                          std::shared_ptr<Transfer>* transfer = nullptr) {
    TransferRecorder& record = this->records.emplace_back();
    const auto started = this->client->Start(std::move(request), record.Callbacks());
    if (transfer != nullptr) {
      *transfer = started;
    }
    return record;
  }
  TransferRecorder& Get(const std::string& url) {
    return this->Start({.method = "GET", .url = url, .timeout = kLongTimeout});
  }
  TransferRecorder& Post(const std::string& url) {
    return this->Start({.method = "POST", .url = url, .timeout = kLongTimeout});
  }

  // Sends one request and responds with these bytes; if `close` is set, shuts down the sending side
  // afterwards.
  TransferRecorder& Exchange(const std::string& response, bool close) {
    RawServer server(this->context);
    TransferRecorder& record = this->Get(server.url("/"));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(response);
    if (close) {
      connection.ShutdownSend();
    }
    CPPUNIT_ASSERT(record.Wait());
    return record;
  }

  // Answers the last of several requests on one connection with a malformed response. Returns what
  // the client believed of it; empty if it reported the response as malformed and closed the
  // connection.
  std::string BelievedOf(const std::string& response, int good_responses) {
    RawServer server(this->context);
    std::optional<RawConnection> connection;
    TransferRecorder* record = nullptr;
    for (int count = 0; count <= good_responses; ++count) {
      record = &this->Start({.method = "GET",
                             .url = server.url("/"),
                             .timeout = kLongTimeout,
                             .accept_close_delimited_body = true});
      if (!connection) {
        connection.emplace(server.Accept());
      }
      CPPUNIT_ASSERT(!connection->ReadUntil("\r\n\r\n").empty());
      connection->Send(count < good_responses ? kSmallResponse : response);
      if (count < good_responses) {
        CPPUNIT_ASSERT(record->Wait());
        this->CheckError(*record, TransferError::kNone, true);
      }
    }
    const bool has_length = response.find("Content-Length") != std::string::npos ||
                            response.find("chunked") != std::string::npos;
    if (!has_length) {
      connection->ShutdownSend();
    }
    CPPUNIT_ASSERT(record->Wait());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(good_responses),
                         record->connection->earlier_requests);
    CPPUNIT_ASSERT(record->result.may_have_been_sent);
    std::string believed;
    if (record->on_headers_calls > 0) {
      believed += "status " + std::to_string(record->status) + ", ";
    }
    if (!record->body.empty()) {
      believed += "body " + record->body + ", ";
    }
    if (record->result.error != TransferError::kMalformed) {
      believed += "error " + std::to_string(static_cast<int>(record->result.error)) + ", ";
    }
    TransferRecorder& next = this->Get(server.url("/next"));
    CPPUNIT_ASSERT(Eventually([&] { return next.has_connection(); }));
    if (next.connection->earlier_requests > 0) {
      believed += "the connection is used again";
    }
    return believed;
  }

  // Responds with `start` and then with `repeated` until the client closes the connection.
  TransferRecorder& ExchangeWithoutEnd(const std::string& start, const std::string& repeated) {
    RawServer server(this->context);
    TransferRecorder& record =
        this->Start({.method = "GET", .url = server.url("/"), .timeout = kEndlessResponseTimeout});
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(start);
    CPPUNIT_ASSERT(connection.SendUntilClosed(repeated));
    CPPUNIT_ASSERT(record.Wait());
    return record;
  }

  void CheckEndlessHead(const std::string& start, const std::string& repeated) {
    TransferRecorder& record = this->ExchangeWithoutEnd(start, repeated);
    this->CheckError(record, TransferError::kMalformed, true);
    CPPUNIT_ASSERT_EQUAL(0, record.on_headers_calls);
    CPPUNIT_ASSERT_EQUAL(std::string(), record.body);
  }

  void CheckEndlessChunkFraming(const std::string& start,
                                const std::string& repeated,
                                TransferError error = TransferError::kMalformed) {
    TransferRecorder& record = this->ExchangeWithoutEnd(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n" + start, repeated);
    this->CheckError(record, error, true);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), record.body);
  }

  TransferRecorder& GetWithId(const std::string& url, const std::string& id) {
    HttpClientRequest request{.method = "GET", .url = url, .timeout = kLongTimeout};
    request.echoed_id = id;
    return this->Start(std::move(request));
  }
  // Reads a request and answers it.
  void Answer(RawConnection& connection, TransferRecorder& record) {
    CPPUNIT_ASSERT(!connection.ReadUntil("\r\n\r\n").empty());
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(record.Wait());
    CPPUNIT_ASSERT(record.result.error == TransferError::kNone);
  }
  // Returns a connection that the client has used once and keeps for its next request.
  RawConnection OpenReusableConnection(RawServer& server) {
    TransferRecorder& record = this->Get(server.url("/first"));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(kSmallResponse);
    CPPUNIT_ASSERT(record.Wait());
    return connection;
  }

  // Highest resident memory of this process since the last reset, in bytes.
  static std::size_t PeakMemory() {
    std::ifstream status("/proc/self/status");
    std::string field;
    while (status >> field && field != "VmHWM:") {
    }
    std::size_t kilobytes = 0;
    CPPUNIT_ASSERT(status >> kilobytes);
    return kilobytes * 1024;
  }

  // Returns the peak after the reset.
  static std::size_t ResetPeakMemory() {
    std::ofstream("/proc/self/clear_refs") << "5" << std::flush;
    return PeakMemory();
  }

  static std::ptrdiff_t CountOpenDescriptors() {
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return std::distance(begin(entries), end(entries));
  }

  static void CheckError(TransferRecorder& record, TransferError error, bool may_have_been_sent) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(error), static_cast<int>(record.result.error));
    CPPUNIT_ASSERT_EQUAL(may_have_been_sent, record.result.may_have_been_sent);
    CPPUNIT_ASSERT_EQUAL(1, record.on_end_calls);
  }

  asio::io_context context;
  // Declared before the client, because callbacks refer to the records.
  std::list<TransferRecorder> records;
  std::unique_ptr<HttpClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace pimentopin

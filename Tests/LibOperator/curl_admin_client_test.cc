#include "Libraries/LibOperator/curl_admin_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <thread>

namespace pimentopin {
namespace {

using asio::ip::tcp;

// Accepts one connection, reads the header of the request and the part of the
// body that arrived with it, sends a fixed response and closes the connection.
class SingleResponseServer {
 public:
  explicit SingleResponseServer(std::string response_bytes)
      : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        response_text(std::move(response_bytes)),
        thread([this] { this->Serve(); }) {}
  ~SingleResponseServer() {
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::string host() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }
  // Waits until the server has closed the connection and returns the request.
  std::string WaitForRequest() {
    this->thread.join();
    return this->received_request;
  }

 private:
  void Serve() {
    tcp::socket socket = this->acceptor.accept();
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(this->received_request), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(this->response_text), error);
    socket.shutdown(tcp::socket::shutdown_both, error);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::string response_text;
  std::string received_request;
  std::thread thread;
};

class CurlAdminClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CurlAdminClientTest);
  CPPUNIT_TEST(TestGet);
  CPPUNIT_TEST(TestPost);
  CPPUNIT_TEST(TestRefusedConnectionIsUnreachable);
  CPPUNIT_TEST(TestLostResponseIsUnknown);
  CPPUNIT_TEST(TestTruncatedResponseIsUnknown);
  CPPUNIT_TEST(TestOversizedResponseIsRejected);
  CPPUNIT_TEST(TestMalformedStatusIsBelieved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestGet() {
    std::string request;
    const auto response = SendToServer("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
                                       {.method = "GET", .path = "/admin/v1/status?x=1"}, &request);
    CPPUNIT_ASSERT(response == (AdminResponse{404, "{}"}));
    CPPUNIT_ASSERT(request.starts_with("GET /admin/v1/status?x=1 HTTP/1.1\r\n"));
  }

  // Guards against a body that is cut off at a NUL byte or sent with a wrong
  // Content-Length.
  void TestPost() {
    std::string request;
    const auto response =
        SendToServer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                     {.method = "POST", .path = "/p", .body = std::string("a\0b", 3)}, &request);
    CPPUNIT_ASSERT(response == (AdminResponse{200, ""}));
    CPPUNIT_ASSERT(request.starts_with("POST /p HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(request.find("Content-Length: 3\r\n") != std::string::npos);
    CPPUNIT_ASSERT(request.find("Expect:") == std::string::npos);
  }

  // Guards against reporting an unknown outcome for a request that was not sent.
  void TestRefusedConnectionIsUnreachable() {
    std::string host;
    {
      asio::io_context context;
      tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      host = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
    Error error;
    CPPUNIT_ASSERT(!CurlAdminClient({}).Send(host, {.method = "POST", .path = "/"}, error));
    CPPUNIT_ASSERT(error.code == ErrorCode::kUnreachable);
  }

  // Guards against reporting a request as not sent although the host received it
  // and closed the connection without a response.
  void TestLostResponseIsUnknown() { AssertUnknownOutcome(""); }

  void TestTruncatedResponseIsUnknown() {
    AssertUnknownOutcome("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"revision\":");
  }

  // Guards against a large response that exhausts the memory of pimentopinctl.
  void TestOversizedResponseIsRejected() {
    AssertUnknownOutcome("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" +
                         std::string(5000, 'x'));
  }

  // Guards against taking a response whose status HTTP does not define for that of a host.
  void TestMalformedStatusIsBelieved() {
    std::string believed;
    for (const std::string status :
         {"000 Unknown", "099 Unknown", "20 OK", "2000 OK", "-200 OK", "+200 OK", "0200 OK",
          "200x OK", "abc", "OK", "", "101 Switch", "600 Unknown", "999 Unknown",
          "500 Error\r\nHTTP/1.1 200 OK: x"}) {
      for (const std::string body :
           {"Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "\r\n{}"}) {
        for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}) {
          const auto response = SendToServer(before + "HTTP/1.1 " + status + "\r\n" + body,
                                             {.method = "GET", .path = "/"}, nullptr);
          if (response) {
            believed += "\n" + before.substr(0, before.find("\r")) + " " + status + ", " +
                        body.substr(0, body.find("\r")) + ": " + std::to_string(response->status);
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), believed);
  }

 private:
  static std::optional<AdminResponse> SendToServer(const std::string& response_text,
                                                   const AdminRequest& request,
                                                   std::string* received_request) {
    CurlAdminClient client({.max_response_bytes = 1000});
    Error error;
    SingleResponseServer server(response_text);
    const std::optional<AdminResponse> response = client.Send(server.host(), request, error);
    const std::string header = server.WaitForRequest();
    if (received_request != nullptr) {
      *received_request = header;
    }
    CPPUNIT_ASSERT(response.has_value() == (error.code == ErrorCode::kNone));
    CPPUNIT_ASSERT(response.has_value() || error.code == ErrorCode::kUnknownOutcome);
    return response;
  }

  static void AssertUnknownOutcome(const std::string& response_text) {
    CPPUNIT_ASSERT(
        !SendToServer(response_text, {.method = "POST", .path = "/", .body = "{}"}, nullptr));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlAdminClientTest);

}  // namespace
}  // namespace pimentopin

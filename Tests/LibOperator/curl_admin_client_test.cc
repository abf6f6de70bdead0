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

// Accepts one connection, reads a request's header and whatever of its body has
// arrived, answers with fixed bytes, and closes.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer_bytes)
      : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        answer(std::move(answer_bytes)),
        thread([this] { this->Serve(); }) {}
  ~OneAnswerServer() {
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::string host() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }
  // Waits for the end of the exchange and returns the request.
  std::string Finish() {
    this->thread.join();
    return this->received;
  }

 private:
  void Serve() {
    tcp::socket socket = this->acceptor.accept();
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(this->received), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(this->answer), error);
    socket.shutdown(tcp::socket::shutdown_both, error);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::string answer;
  std::string received;
  std::thread thread;
};

class CurlAdminClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CurlAdminClientTest);
  CPPUNIT_TEST(TestGet);
  CPPUNIT_TEST(TestPost);
  CPPUNIT_TEST(TestRefusedConnectionIsUnreachable);
  CPPUNIT_TEST(TestLostAnswerIsUnknown);
  CPPUNIT_TEST(TestTruncatedAnswerIsUnknown);
  CPPUNIT_TEST(TestLargeAnswerIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestGet() {
    std::string request;
    const auto response = Exchange("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
                                   {.method = "GET", .path = "/admin/v1/status?x=1"}, &request);
    CPPUNIT_ASSERT(response == (AdminResponse{404, "{}"}));
    CPPUNIT_ASSERT(request.starts_with("GET /admin/v1/status?x=1 HTTP/1.1\r\n"));
  }

  // Guards against a body that is cut at a NUL or announced with another length.
  void TestPost() {
    std::string request;
    const auto response =
        Exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                 {.method = "POST", .path = "/p", .body = std::string("a\0b", 3)}, &request);
    CPPUNIT_ASSERT(response == (AdminResponse{200, ""}));
    CPPUNIT_ASSERT(request.starts_with("POST /p HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(request.find("Content-Length: 3\r\n") != std::string::npos);
    CPPUNIT_ASSERT(request.find("Expect:") == std::string::npos);
  }

  // Guards against "unknown" for a request that cannot have been sent.
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

  // Guards against "nothing changed" for a request that was received.
  void TestLostAnswerIsUnknown() { AssertUnknown(""); }

  void TestTruncatedAnswerIsUnknown() {
    AssertUnknown("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"revision\":");
  }

  // Guards against an answer that exhausts the memory of the tool.
  void TestLargeAnswerIsRefused() {
    AssertUnknown("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'));
  }

 private:
  static std::optional<AdminResponse> Exchange(const std::string& answer,
                                               const AdminRequest& request,
                                               std::string* received) {
    CurlAdminClient client({.max_response_bytes = 1000});
    Error error;
    OneAnswerServer server(answer);
    const std::optional<AdminResponse> response = client.Send(server.host(), request, error);
    const std::string header = server.Finish();
    if (received != nullptr) {
      *received = header;
    }
    CPPUNIT_ASSERT(response.has_value() == (error.code == ErrorCode::kNone));
    CPPUNIT_ASSERT(response.has_value() || error.code == ErrorCode::kUnknownOutcome);
    return response;
  }

  static void AssertUnknown(const std::string& answer) {
    CPPUNIT_ASSERT(!Exchange(answer, {.method = "POST", .path = "/", .body = "{}"}, nullptr));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlAdminClientTest);

}  // namespace
}  // namespace pimentopin

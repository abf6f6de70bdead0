#include "Libraries/LibHttp/arrival_time.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <thread>

#include "Libraries/LibHttp/http_server.h"
#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

// Many ticks of the kernel.
constexpr std::chrono::milliseconds kPause(300);

class ArrivalTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalTimeTest);
  CPPUNIT_TEST(TestPauseOfTheServerDelaysTheArrival);
  CPPUNIT_TEST(TestRequestSeemsToArriveBeforeItIsSent);
  CPPUNIT_TEST(TestClosedSocketHasNoArrival);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Error error;
    this->release = {};
    this->blocked = {};
    this->arrival = {};
    this->server = HttpServer::Create(
        {.address = "127.0.0.1:0"},
        [this, released = this->release.get_future().share()](
            const HttpServerRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          if (request.path == "/blocking") {
            this->blocked.set_value();
            released.wait();
          } else {
            this->arrival.set_value(request.received_at);
          }
          responder->Respond(200, {}, "done");
        },
        error);
    CPPUNIT_ASSERT(this->server);
  }
  void tearDown() override { this->server.reset(); }

  // Guards against deadlines that count from the end of a pause of the host.
  void TestPauseOfTheServerDelaysTheArrival() {
    RawConnection blocking = this->Connect();
    blocking.Send("GET /blocking HTTP/1.1\r\nHost: h\r\n\r\n");
    this->blocked.get_future().wait();
    // The server accepts this connection after the pause.
    RawConnection caller = this->Connect();
    const TimePoint before = SteadyNow();
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(kPause);
    const TimePoint released_at = SteadyNow();
    this->release.set_value();
    const TimePoint arrived = this->arrival.get_future().get();
    CPPUNIT_ASSERT(arrived >= before && arrived < released_at);
  }

  // Guards against time that is taken from each request on an idle connection.
  void TestRequestSeemsToArriveBeforeItIsSent() {
    for (int round = 0; round < 20; ++round) {
      this->arrival = {};
      RawConnection caller = this->Connect();
      std::this_thread::sleep_for(std::chrono::milliseconds(round));
      const TimePoint before = SteadyNow();
      caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      CPPUNIT_ASSERT(this->arrival.get_future().get() >= before);
      caller.ReadUntil("done");
    }
  }

  // Guards against an arrival that is not known.
  void TestClosedSocketHasNoArrival() {
    const TimePoint now = SteadyNow();
    CPPUNIT_ASSERT(LastArrival(-1, now) == now);
  }

 private:
  RawConnection Connect() { return RawConnection::Open(this->context, this->server->address()); }

  asio::io_context context;
  std::promise<void> release;
  std::promise<void> blocked;
  std::promise<TimePoint> arrival;
  std::unique_ptr<HttpServer> server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalTimeTest);

}  // namespace
}  // namespace pimentopin
